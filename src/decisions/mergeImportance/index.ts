import { type Importance } from "../../types";

const ranks: Readonly<Record<Importance, number>> = { critical: 2, normal: 1, low: 0 };

/** Parses an importance; anything unknown is undefined. */
export const parseImportance = (text: string | undefined): Importance | undefined =>
    text !== undefined && Object.hasOwn(ranks, text) ? text as Importance : undefined;

/** Merges the importance of an action with that of a route within it: the higher one counts. */
export const mergeImportance = (inherited: Importance | undefined, own: Importance): Importance =>
    inherited !== undefined && ranks[inherited] > ranks[own] ? inherited : own;
