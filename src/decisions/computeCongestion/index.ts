/** Longest wait without congestion, as a share of the target latency. */
const congestionOnsetShare = 0.25;
/** Shortest wait with full congestion, as a share of the target latency. */
const fullCongestionShare = 0.65;

/**
 * Computes how congested a service is for a request, from 0 (uncongested) to 1 (no new requests should be admitted).
 * `waitMs` is the request's expected or actual wait for a slot, `targetLatencyMs` the target latency of its route.
 */
export const computeCongestion = (waitMs: number, targetLatencyMs: number): number => {
    const waitShare = waitMs / Math.max(1, targetLatencyMs);
    const congestion = (waitShare - congestionOnsetShare) / (fullCongestionShare - congestionOnsetShare);
    return Math.min(1, Math.max(0, congestion));
};
