import { type Importance } from "../../types";

const ranks: Readonly<Record<Importance, number>> = { critical: 2, normal: 1, low: 0 };

/** Parses an importance; returns undefined for any other text. */
export const parseImportance = (text: string | undefined): Importance | undefined =>
    text !== undefined && Object.hasOwn(ranks, text) ? text as Importance : undefined;

/** Returns the higher of the importance that a call inherits from its action and that of its own route. */
export const mergeImportance = (inherited: Importance | undefined, own: Importance): Importance =>
    inherited !== undefined && ranks[inherited] > ranks[own] ? inherited : own;
