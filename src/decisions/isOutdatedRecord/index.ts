import { type GoneRecord } from "../../routing/types";

type RecordVersion = Pick<GoneRecord, "bornAtMs" | "sequence">;

/** Whether a record is older than what is known of the same upstream: of an earlier incarnation, or written before. */
export const isOutdatedRecord = (record: RecordVersion, known: RecordVersion): boolean =>
    record.bornAtMs < known.bornAtMs || record.bornAtMs === known.bornAtMs && record.sequence < known.sequence;
