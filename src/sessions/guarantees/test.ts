import fc from "fast-check";
import { patchPolicyLog } from "../../policy/patchPolicyLog";
import { type PolicyLog } from "../../policy/types";
import { findHeader } from "../../tasks/_lib/headers";
import {
    createTwoServiceGraph,
    createTwoServicePolicy,
    type TwoServiceGraph,
} from "../../testing/createTwoServiceGraph";
import { type ReceivedAnswer } from "../../testing/fakeExchange";

const readOutcome = (answer: ReceivedAnswer | undefined): string | undefined =>
    answer?.head && findHeader(answer.head.rawHeaders, "pomelovalve-outcome");

const countRuns = (session: TwoServiceGraph): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    session.runs.filter(run => run.key !== undefined).forEach(run =>
        counts.set(run.key!, (counts.get(run.key!) ?? 0) + 1)
    );
    return counts;
};

const patchSlots = (log: PolicyLog, version: number): PolicyLog => {
    const patch = [{ op: "replace", path: "/services/desk/slots", value: 10 + version }];
    const changeMetadata = { author: "aida", time: "2026-01-01T00:00:00.000Z", reason: "test" };
    const patched = patchPolicyLog(log, version, patch, changeMetadata);
    if (!patched.ok) {
        throw new Error(JSON.stringify(patched.faults));
    }
    return patched.value;
};

/** Step of a random session; `list` gives one node an instance list that lacks an endpoint. */
type Step =
    | { readonly kind: "send"; readonly endpoint: string; readonly keyIndex: number; }
    | { readonly kind: "wait"; readonly durationMs: number; }
    | { readonly kind: "partition"; readonly isPartitioned: boolean; }
    | { readonly kind: "refuse"; readonly endpoint: string; readonly refuses: boolean; }
    | { readonly kind: "slow"; readonly factor: number; }
    | { readonly kind: "drain"; readonly endpoint: string; }
    | { readonly kind: "list"; readonly reader: string; readonly missingEndpoint: string; };

const anyDeskEndpoint = fc.constantFrom("desk-a", "desk-b");
const anyEndpoint = fc.constantFrom("desk-a", "desk-b", "store-a", "store-b");

const anyStep: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({ kind: fc.constant("send" as const), endpoint: anyDeskEndpoint, keyIndex: fc.nat(5) }),
    },
    {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constant("wait" as const), durationMs: fc.integer({ min: 1, max: 800 }) }),
    },
    fc.record({ kind: fc.constant("partition" as const), isPartitioned: fc.boolean() }),
    fc.record({ kind: fc.constant("refuse" as const), endpoint: anyEndpoint, refuses: fc.boolean() }),
    fc.record({ kind: fc.constant("slow" as const), factor: fc.constantFrom(1, 10, 60) }),
    fc.record({ kind: fc.constant("drain" as const), endpoint: anyEndpoint }),
    fc.record({ kind: fc.constant("list" as const), reader: anyEndpoint, missingEndpoint: anyEndpoint }),
);

const runStep = (session: TwoServiceGraph, keys: readonly string[], step: Step): readonly ReceivedAnswer[] => {
    const { graph, clock } = session;
    switch (step.kind) {
        case "send":
            return session.send(step.endpoint, "POST", keys[step.keyIndex]!);
        case "wait":
            clock.runUntil(clock.readMonotonicMs() + step.durationMs);
            return [];
        case "partition":
            graph.updatePartition("zone-a", "zone-b", step.isPartitioned);
            return [];
        case "refuse":
            graph.updateConnectionRefusal(step.endpoint, step.refuses);
            return [];
        case "slow":
            graph.endpoints.forEach(({ upstream }) => upstream.updateWorkFactor(step.factor));
            return [];
        case "drain":
            graph.getEndpoint(step.endpoint).core.lifecycle.handle("stopRequested");
            return [];
        case "list":
            graph.publishInstances(
                graph.listInstances().filter(instance => instance.endpoint !== step.missingEndpoint),
                [step.reader],
            );
            return [];
    }
};

describe("guarantees under random partitions, refused connections, slow upstreams, drains and incomplete lists", () => {
    it("runs a non-idempotent request at most once per service, and answers each attempt exactly once", () => {
        fc.assert(
            fc.property(fc.array(anyStep, { minLength: 5, maxLength: 40 }), fc.nat(1_000), (steps, seed) => {
                const session = createTwoServiceGraph(undefined, seed);
                const keys = Array.from({ length: 6 }, session.createId);
                const stepResults = steps.map(step => ({ step, received: runStep(session, keys, step) }));
                session.clock.runUntil(session.clock.readMonotonicMs() + 20_000);
                expect([...countRuns(session).values()].filter(runs => runs > 1)).toEqual([]);
                stepResults.filter(({ step }) => step.kind === "send").forEach(({ received }) =>
                    expect(received).toHaveLength(1)
                );
            }),
            { seed: 13, numRuns: 300 },
        );
    });

    it("never answers not-run to all attempts of a request that has run", () => {
        fc.assert(
            fc.property(fc.array(anyStep, { minLength: 5, maxLength: 40 }), fc.nat(1_000), (steps, seed) => {
                const session = createTwoServiceGraph(undefined, seed);
                const keys = Array.from({ length: 6 }, session.createId);
                const sentRequests = steps.flatMap(step => {
                    const received = runStep(session, keys, step);
                    return step.kind === "send" ? [{ key: keys[step.keyIndex]!, received }] : [];
                });
                session.clock.runUntil(session.clock.readMonotonicMs() + 20_000);
                const runs = countRuns(session);
                const keysNotRun = keys.filter(key => !runs.has(key));
                const lastOutcomes = new Map(sentRequests.map(({ key, received }) => [key, readOutcome(received[0])]));
                lastOutcomes.forEach((outcome, key) => {
                    if (outcome === "completed" || outcome === "failed") {
                        expect(keysNotRun).not.toContain(key);
                    }
                });
                sentRequests.filter(({ received }) => readOutcome(received[0]) === "not-run").forEach(({ key }) => {
                    const outcomes = sentRequests.filter(other => other.key === key).map(other =>
                        readOutcome(other.received[0])
                    );
                    const mayHaveRun = outcomes.some(outcome => outcome !== "not-run");
                    expect(runs.has(key) && !mayHaveRun).toBe(false);
                });
            }),
            { seed: 14, numRuns: 300 },
        );
    });

    it("never reverts to an older policy version, in whatever order the nodes read policy logs", () => {
        const anyReads = fc.array(fc.tuple(anyEndpoint, fc.nat(5)), { maxLength: 40 });
        fc.assert(
            fc.property(anyReads, reads => {
                const { graph } = createTwoServiceGraph();
                const logs = [1, 2, 3, 4, 5].reduce<readonly PolicyLog[]>(
                    (previous, version) => [...previous, patchSlots(previous[previous.length - 1]!, version)],
                    [graph.policyLog],
                );
                const highestVersions = new Map<string, number>();
                reads.forEach(([name, index]) => {
                    graph.publishPolicy(logs[index]!, 1, [name]);
                    const version = graph.getEndpoint(name).core.policy.inForce!.version;
                    expect(version).toBe(Math.max(highestVersions.get(name) ?? 1, index + 1));
                    highestVersions.set(name, version);
                });
            }),
            { seed: 15, numRuns: 100 },
        );
    });

    it("sends no requests to an instance that an answer reported as leaving, and completes those in flight", () => {
        const { graph, clock, runs, send } = createTwoServiceGraph(createTwoServicePolicy(40, 20));
        const inFlightAnswers = send("desk-a", "GET");
        clock.runUntil(clock.readMonotonicMs() + 40);
        graph.getEndpoint("store-a").core.lifecycle.handle("stopRequested");
        const reroutedAnswers = send("desk-a", "GET");
        clock.runUntil(clock.readMonotonicMs() + 1_000);
        expect(inFlightAnswers[0]).toMatchObject({ isComplete: true, head: { status: 200 } });
        expect(reroutedAnswers[0]).toMatchObject({ isComplete: true, head: { status: 200 } });
        const countLeavingRefusals = (): number =>
            graph.getEndpoint("store-a").core.metrics.listRefusals()["leaving"] ?? 0;
        const runCountBefore = runs.length;
        const refusalCountBefore = countLeavingRefusals();
        Array.from({ length: 10 }, () => {
            send("desk-a", "GET");
            clock.runUntil(clock.readMonotonicMs() + 300);
        });
        const laterRuns = runs.slice(runCountBefore).filter(run => run.endpoint.startsWith("store"));
        expect(laterRuns).toHaveLength(10);
        expect(new Set(laterRuns.map(run => run.endpoint))).toEqual(new Set(["store-b"]));
        expect(countLeavingRefusals()).toBe(refusalCountBefore);
    });

    it("serves requests in each failure domain during a partition between them", () => {
        const { graph, clock, send } = createTwoServiceGraph();
        graph.updatePartition("zone-a", "zone-b", true);
        const statuses = ["desk-a", "desk-b"].map(name => {
            const received = send(name, "GET");
            clock.runUntil(clock.readMonotonicMs() + 1_000);
            return received[0]?.head?.status;
        });
        expect(statuses).toEqual([200, 200]);
    });

    it("runs critical requests before look-ups that arrived earlier, and answers all of them", () => {
        const policy = createTwoServicePolicy(16, 8);
        const longQueue = { maxLength: 100, maxWaitMs: 900 };
        const services = Object.entries(policy.services).map((
            [name, service],
        ) => [name, { ...service, queue: longQueue }]);
        const session = createTwoServiceGraph({ ...policy, services: Object.fromEntries(services) });
        const { clock, send, createId, runs } = session;
        const lookUps = Array.from({ length: 60 }, () => send("desk-a", "GET"));
        const bookings = Array.from({ length: 3 }, () => send("desk-a", "POST", createId()));
        clock.runUntil(clock.readMonotonicMs() + 5_000);
        const deskRuns = runs.filter(run => run.endpoint === "desk-a");
        const positions = deskRuns.flatMap((run, index) => run.key === undefined ? [] : [index]);
        expect(bookings.map(received => received[0]?.head?.status)).toEqual([200, 200, 200]);
        expect(positions.every(position => position < 10)).toBe(true);
        expect(lookUps.filter(received => received.length === 1)).toHaveLength(60);
    });
});
