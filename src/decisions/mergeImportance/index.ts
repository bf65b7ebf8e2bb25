import { type Importance } from "../../types";

/** Position of each importance in ascending order. */
const levels: Readonly<Record<Importance, number>> = { critical: 2, normal: 1, low: 0 };

/** Parses an importance; returns undefined for any other or missing text. */
export const parseImportance = (text: string | undefined): Importance | undefined =>
    text !== undefined && Object.hasOwn(levels, text) ? text as Importance : undefined;

/** Returns the higher of the importance that a call inherits and the importance of its route. */
export const mergeImportance = (inherited: Importance | undefined, routeImportance: Importance): Importance =>
    inherited !== undefined && levels[inherited] > levels[routeImportance] ? inherited : routeImportance;
