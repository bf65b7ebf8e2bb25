import { type SlotStats } from "../relay/slotQueue";

/** Statistics of an upstream without requests. */
export const emptySlotStats: SlotStats = { inFlight: 0, queued: 0, limit: 8, meanServiceMs: 0, directShare: 1 };
