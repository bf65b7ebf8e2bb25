/** Share of the target latency spent waiting at which a service begins to count as congested. */
const congestedFromShare = 0.25;
/** Share of the target latency spent waiting at which new work has to stop. */
const congestedFullyShare = 0.65;

/** Computes how congested a service is for a request, from 0 (room) to 1 (new work has to stop). */
export const computeCongestion = (waitMs: number, targetLatencyMs: number): number => {
    const share = waitMs / Math.max(1, targetLatencyMs);
    const congestion = (share - congestedFromShare) / (congestedFullyShare - congestedFromShare);
    return Math.min(1, Math.max(0, congestion));
};
