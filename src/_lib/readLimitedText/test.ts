import { Readable } from "node:stream";
import { readLimitedText } from "./index";

const createEndlessBody = (): Readable =>
    new Readable({
        read() {
            this.push(Buffer.alloc(1_000));
        },
    });

describe("readLimitedText", () => {
    it("joins characters that are split over chunks", async () => {
        const bytes = Buffer.from("a\u00e9b");
        expect(await readLimitedText(Readable.from([bytes.subarray(0, 2), bytes.subarray(2)]), 4)).toBe("a\u00e9b");
    });

    // Guards against a node that runs out of memory because a body doesn't end.
    it("rejects a body that is too long, and reads no more of it", async () => {
        const body = createEndlessBody();
        await expect(readLimitedText(body, 10_000)).rejects.toThrow("the body is longer than 10000 bytes");
        expect(body.destroyed).toBe(true);
    });
});
