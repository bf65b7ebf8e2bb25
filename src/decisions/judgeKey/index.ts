/** Bounds on the age of the table by which a key is judged, in milliseconds. */
export interface KeyAgeBounds {
    /** Age up to which a key of the table is accepted. A key may be used for this long after its withdrawal. */
    readonly maxUseAgeMs: number;
    /** Age up to which a key that the table lacks is denied. A new key may be unknown for this long. */
    readonly maxDenialAgeMs: number;
}

/** "unproven" means that the table may be too old to judge the key. */
export type KeyVerdict = "accepted" | "unknown" | "unproven";

/**
 * Judges a key by a table of a proven age. A known key may have been withdrawn since the table was current, and an
 * unknown one may have been added; both are judged only while that can't matter yet.
 */
export const judgeKey = (isKnown: boolean, tableAgeMs: number, bounds: KeyAgeBounds): KeyVerdict => {
    if (tableAgeMs > (isKnown ? bounds.maxUseAgeMs : bounds.maxDenialAgeMs)) {
        return "unproven";
    }
    return isKnown ? "accepted" : "unknown";
};
