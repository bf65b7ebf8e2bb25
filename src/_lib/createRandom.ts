import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const randomResolution = 2 ** 30;

/** Creates a deterministic source of random numbers in [0, 1) from a seed. */
export const createRandom = (seed: number): () => number => {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, randomResolution - 1) / randomResolution;
};
