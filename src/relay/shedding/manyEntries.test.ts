/**
 * Load pattern: hundreds of entries with a few requests a second each, all of whose requests lead to a service that loses
 * a part of its capacity. An entry has a few answers a second from which to learn it.
 */
import { createRandom } from "../../_lib/createRandom";
import { computeCongestion } from "../../decisions/computeCongestion";
import { Shedding } from "./index";

const entryCount = 195;
const requestsPerSecond = 3.5;
const targetLatencyMs = 2_500;
const serviceMs = 600;
const stepMs = 10;
const lossFromMs = 6_000;
const lossToMs = 20_000;
const endMs = 30_000;

interface SecondCounts {
    offered: number;
    admitted: number;
    served: number;
    refused: number;
}

/** Runs the load and counts by second. The service refuses what would wait for longer than its target permits. */
const runLoad = (seed: number, capacityShare: number, organisationCount: number): readonly SecondCounts[] => {
    const sampleRandom = createRandom(seed);
    const clock = { nowMs: 0 };
    const readNowMs = (): number => clock.nowMs;
    const sheddings = Array.from({ length: entryCount }, () => new Shedding(readNowMs));
    const counts = Array.from(
        { length: endMs / 1_000 },
        (): SecondCounts => ({ offered: 0, admitted: 0, served: 0, refused: 0 }),
    );
    let answers: { readonly atMs: number; readonly settle: () => void; }[] = [];
    const fullRate = entryCount * requestsPerSecond * 1.2;
    let queued = 0;
    const sampleOrganisation = (): string | undefined =>
        organisationCount === 0 ? undefined : `org-${Math.floor(sampleRandom() * organisationCount)}`;
    for (; clock.nowMs < endMs; clock.nowMs += stepMs) {
        const second = counts[Math.floor(clock.nowMs / 1_000)]!;
        const due = answers.filter(({ atMs }) => atMs <= clock.nowMs);
        answers = answers.filter(({ atMs }) => atMs > clock.nowMs);
        due.forEach(({ settle }) => settle());
        const isReduced = clock.nowMs >= lossFromMs && clock.nowMs < lossToMs;
        const rate = fullRate * (isReduced ? capacityShare : 1);
        queued = Math.max(0, queued - rate * stepMs / 1_000);
        sheddings.forEach(shedding => {
            const isSent = sampleRandom() < requestsPerSecond * stepMs / 1_000;
            second.offered += isSent ? 1 : 0;
            if (!isSent) {
                return;
            }
            const organisation = sampleOrganisation();
            if (!shedding.tryAdmit({ route: "lookup", rank: 2, organisation, identity: `${clock.nowMs}` })) {
                return;
            }
            second.admitted += 1;
            const waitMs = queued / rate * 1_000;
            const isRefused = waitMs > targetLatencyMs * 0.5;
            second[isRefused ? "refused" : "served"] += 1;
            queued += isRefused ? 0 : 1;
            const congestion = isRefused ? 1 : computeCongestion(waitMs, targetLatencyMs);
            answers.push({
                atMs: clock.nowMs + (isRefused ? 300 : serviceMs + waitMs),
                settle: () => shedding.recordAnswer("lookup", 2, congestion),
            });
        });
    }
    return counts;
};

const computeSums = (counts: readonly SecondCounts[], from: number, to: number): SecondCounts => {
    const selected = counts.slice(from, to);
    const sum = (key: keyof SecondCounts): number => selected.reduce((total, second) => total + second[key], 0);
    return { offered: sum("offered"), admitted: sum("admitted"), served: sum("served"), refused: sum("refused") };
};

describe.each([
    { share: 0.35, organisations: 0 },
    { share: 0.7, organisations: 0 },
    { share: 0.35, organisations: 75 },
    { share: 0.7, organisations: 75 },
])("hundreds of entries with little traffic each, $share of the capacity, $organisations organisations", options => {
    const { share, organisations } = options;
    const capacityPerSecond = entryCount * requestsPerSecond * 1.2 * share;

    it.each([1, 2])("admit little more than the service can serve within three seconds of a loss (seed %i)", seed => {
        const settled = computeSums(runLoad(seed, share, organisations), 9, 20);
        expect(settled.refused / settled.admitted).toBeLessThan(0.15);
        expect(settled.served / 11).toBeGreaterThan(0.8 * capacityPerSecond);
    });

    it.each([1, 2])("admit everything again within five seconds after it (seed %i)", seed => {
        const { offered, admitted } = computeSums(runLoad(seed, share, organisations), 25, 30);
        expect(admitted / offered).toBeGreaterThan(0.97);
    });
});
