import { createFanOutLoad, fanOutRoutes } from "../testing/createFanOutLoad";
import { testHeaderNames } from "../testing/startRelayFleet";

const namedAtMs = 5_000;
/** Time after an upstream's announcement in which requests may still reach it, in milliseconds. */
const drainMs = 2_000;
const endMs = 15_000;

describe("an upstream that says in its answers that it is leaving", () => {
    // Guards against requests to a leaving upstream whose entry in the store still says that it is ready.
    it.each([1, 2, 3])("gets no requests after two seconds, though the list shows it as ready (seed %i)", seed => {
        const { clock, fleet, callers } = createFanOutLoad(seed, () => 0.6);
        const [leaving] = fleet.listUpstreams("store");
        clock.runUntil(namedAtMs);
        leaving!.updateNamedHeaders([testHeaderNames.upstreamLeaving, "1"]);
        clock.runUntil(endMs);
        // The first answer after the change announces it; the slowest answer takes less than a second at this load.
        const lateTimes = leaving!.arrivalTimes.filter(atMs => atMs > namedAtMs + 1_000 + drainMs);
        expect(lateTimes).toEqual([]);
        const { sent, inTarget } = callers.count(fanOutRoutes.fetch, namedAtMs / 1_000, 13);
        expect(inTarget / sent).toBeGreaterThan(0.9);
    });
});
