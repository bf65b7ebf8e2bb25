import { type LoadReport } from "../relay/types";

/** Creates the load report of an upstream, by default of an idle one. */
export const createReport = (overrides: Partial<LoadReport> = {}): LoadReport => ({
    congestion: 0,
    inFlight: 0,
    queued: 0,
    limit: 9,
    meanServiceMs: 20,
    directShare: 1,
    leaving: false,
    nestedCalls: 0,
    version: 1,
    tableAgeMs: 0,
    ...overrides,
});
