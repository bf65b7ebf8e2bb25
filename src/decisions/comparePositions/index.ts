import { type StorePosition } from "../../routing/types";

/** Compares two positions in the history of the store; the result is negative if the first one is older. */
export const comparePositions = (first: StorePosition, second: StorePosition): number =>
    first.era - second.era || first.revision - second.revision;
