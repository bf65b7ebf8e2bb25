import fc from "fast-check";
import { ByteAccumulator } from "./byteAccumulator";

describe("ByteAccumulator", () => {
    it("returns the chunks in order, whatever their sizes", () => {
        fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 20 }), chunks => {
            const accumulator = new ByteAccumulator();
            chunks.forEach(chunk => accumulator.add(Buffer.from(chunk)));
            const expected = Buffer.concat(chunks);
            expect(accumulator.length).toBe(expected.length);
            expect(accumulator.take().equals(expected)).toBe(true);
            expect(accumulator.length).toBe(0);
        }));
    });

    // Guards against a node over its memory limit: each view keeps the whole buffer that was read from a socket.
    it("keeps no view of the buffers that the chunks belong to", () => {
        const accumulator = new ByteAccumulator();
        const read = Buffer.alloc(64 * 1024, "a");
        accumulator.add(read.subarray(0, 1));
        accumulator.add(read.subarray(1, 3));
        read.fill("b");
        const taken = accumulator.take();
        expect(taken.toString()).toBe("aaa");
        expect(taken.buffer.byteLength).toBeLessThan(read.length);
    });
});
