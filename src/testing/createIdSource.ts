import { v7 } from "uuid";
import { createRandom } from "../_lib/createRandom";
import { type Clock } from "../tasks/_lib/clock";

const randomBytes = 16;
const byteValues = 256;

/** Creates a deterministic generator of UUIDs of version 7 from a clock and a seed. */
export const createIdSource = (clock: Clock, seed: number): () => string => {
    const sampleRandom = createRandom(seed);
    return () => {
        const random = Uint8Array.from({ length: randomBytes }, () => Math.floor(sampleRandom() * byteValues));
        const seq = Math.floor(sampleRandom() * 2 ** 31);
        return v7({ msecs: clock.readWallMs(), random, seq });
    };
};
