import { v7 } from "uuid";
import { createRandom } from "../_lib/createRandom";
import { type Clock } from "../tasks/_lib/clock";

const randomByteCount = 16;
const valuesPerByte = 256;

/** Creates a generator of UUIDs of version 7 that depend only on the clock and the seed. */
export const createIdSource = (clock: Clock, seed: number): () => string => {
    const sampleRandom = createRandom(seed);
    return () => {
        const random = Uint8Array.from({ length: randomByteCount }, () => Math.floor(sampleRandom() * valuesPerByte));
        const seq = Math.floor(sampleRandom() * 2 ** 31);
        return v7({ msecs: clock.readWallMs(), random, seq });
    };
};
