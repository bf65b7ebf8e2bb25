import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Number of different values that the generator can return; they are evenly spaced in [0, 1). */
const randomResolution = 2 ** 30;

/** Creates a generator of pseudorandom numbers in [0, 1); the same seed gives the same sequence. */
export const createRandom = (seed: number): () => number => {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, randomResolution - 1) / randomResolution;
};
