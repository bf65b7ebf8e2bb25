/**
 * Computes the rank of a nested request; 0 is the most important. It rises in importance with each sibling that has
 * succeeded, so that nearly complete trees of requests are finished before others are begun. Otherwise an overloaded
 * service would advance all trees alike, and all of them would miss their deadlines. The most important rank stays ahead.
 */
export const computeNestedRank = (parentRank: number, succeededSiblings: number): number =>
    parentRank / (1 + succeededSiblings);
