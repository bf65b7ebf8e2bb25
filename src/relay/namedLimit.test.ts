import { createFanOutLoad, fanOutRoutes } from "../testing/createFanOutLoad";
import { testHeaderNames } from "../testing/startRelayFleet";

const limitPerSecond = 1.5;
const namedAtMs = 5_000;
/** Time that the fleet gets to keep a limit after it was first named, in milliseconds. */
const settleMs = 3_000;
const windowMs = 4_000;
/** Largest number of requests in a window that an upstream with this limit may get. */
const maxInWindow = 1.5 * limitPerSecond * windowMs / 1_000 + 5;
const endMs = 20_000;

/** Counts the arrivals in the fullest window. */
const countFullestWindow = (times: readonly number[]): number =>
    Math.max(...times.map(fromMs => times.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length));

describe("upstreams that name a limit", () => {
    // Guards against an upstream in need that gets more requests than the limit that it names.
    it.each([1, 2, 3])("get no more requests than that from all nodes together (seed %i)", seed => {
        const { clock, fleet, callers } = createFanOutLoad(seed, () => 1);
        const limited = fleet.listUpstreams("store").slice(0, 2);
        clock.runUntil(namedAtMs);
        limited.forEach(upstream => upstream.updateNamedHeaders([testHeaderNames.rateLimit, `${limitPerSecond}`]));
        clock.runUntil(endMs);
        limited.forEach(({ arrivalTimes }) => {
            const laterTimes = arrivalTimes.filter(atMs => atMs >= namedAtMs + settleMs);
            expect(laterTimes.length).toBeGreaterThan(0);
            expect(countFullestWindow(laterTimes)).toBeLessThanOrEqual(maxInWindow);
        });
        const { sent, inTarget } = callers.count(fanOutRoutes.fetch, namedAtMs / 1_000, 18);
        expect(inTarget / sent).toBeGreaterThan(0.5);
    });
});
