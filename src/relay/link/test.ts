import { encodeFrame, type Frame, frameKinds, FrameReader } from "./frames";

describe("frames", () => {
    it("are read as they were written, for any split of the bytes", () => {
        const frames: readonly Frame[] = [
            [frameKinds.request, 1, "hop", "id", "POST", "/x", ["Host", "a"], Buffer.from("body")],
            [frameKinds.cancel, 1],
            [frameKinds.answer, 2, "hop", 200, [], Buffer.alloc(3_000, "x")],
            [frameKinds.request, 4, "", "", "GET", "/", [], undefined],
        ];
        const bytes = Buffer.concat(frames.map(encodeFrame));
        [1, 7, 1_000, bytes.length].forEach(size => {
            const reader = new FrameReader();
            const read: Frame[] = [];
            for (let start = 0; start < bytes.length; start += size) {
                read.push(...reader.read(bytes.subarray(start, start + size))!);
            }
            expect(JSON.stringify(read)).toBe(JSON.stringify(frames));
        });
    });

    it("may be long and contain non-ASCII characters", () => {
        const frame: Frame = [
            frameKinds.answer,
            3,
            "hop",
            200,
            ["Name", "\u00e9\u4e2d".repeat(9_000)],
            Buffer.alloc(300_000, "y"),
        ];
        const bytes = encodeFrame(frame);
        const reader = new FrameReader();
        expect(reader.read(bytes.subarray(0, 70_000))).toEqual([]);
        expect(JSON.stringify(reader.read(bytes.subarray(70_000)))).toBe(JSON.stringify([frame]));
    });

    it("are rejected if they are too long or can't be decoded", () => {
        expect(new FrameReader().read(Buffer.from([255, 255, 255, 255]))).toBeUndefined();
        expect(new FrameReader().read(Buffer.from([0, 0, 0, 1, 0xc1]))).toBeUndefined();
        expect(new FrameReader().read(Buffer.from([0, 0, 0, 1, 5]))).toBeUndefined();
    });
});
