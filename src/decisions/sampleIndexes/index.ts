/** Additional random indexes that are tried when one is a repetition or isn't accepted. */
const extraTries = 4;

/**
 * Samples up to `count` distinct indexes below `length` for which `isAccepted` holds. The number of tries doesn't grow
 * with the length, so fewer indexes may be found than there are. A list of hardly more than `count` is tried whole.
 */
export const sampleIndexes = (
    length: number,
    count: number,
    sampleRandom: () => number,
    isAccepted: (index: number) => boolean,
): readonly number[] => {
    const sampled: number[] = [];
    const maxTries = count + extraTries;
    const offset = Math.floor(sampleRandom() * length);
    for (let tries = 0; tries < Math.min(maxTries, length) && sampled.length < count; tries += 1) {
        const index = length <= maxTries ? (offset + tries) % length : Math.floor(sampleRandom() * length);
        if (!sampled.includes(index) && isAccepted(index)) {
            sampled.push(index);
        }
    }
    return sampled;
};
