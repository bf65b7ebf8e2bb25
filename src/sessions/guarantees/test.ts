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
    const note = { author: "aida", time: "2026-01-01T00:00:00.000Z", reason: "test" };
    const patched = patchPolicyLog(log, version, patch, note);
    if (!patched.ok) {
        throw new Error(JSON.stringify(patched.faults));
    }
    return patched.value;
};

/** One thing that happens in a random session. */
type Step =
    | { readonly kind: "send"; readonly endpoint: string; readonly key: number; }
    | { readonly kind: "wait"; readonly ms: number; }
    | { readonly kind: "cut"; readonly cut: boolean; }
    | { readonly kind: "refuse"; readonly endpoint: string; readonly refuses: boolean; }
    | { readonly kind: "slow"; readonly factor: number; }
    | { readonly kind: "drain"; readonly endpoint: string; }
    | { readonly kind: "list"; readonly reader: string; readonly missing: string; };

const desk = fc.constantFrom("desk-a", "desk-b");
const endpoint = fc.constantFrom("desk-a", "desk-b", "store-a", "store-b");

const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("send" as const), endpoint: desk, key: fc.nat(5) }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 800 }) }) },
    fc.record({ kind: fc.constant("cut" as const), cut: fc.boolean() }),
    fc.record({ kind: fc.constant("refuse" as const), endpoint, refuses: fc.boolean() }),
    fc.record({ kind: fc.constant("slow" as const), factor: fc.constantFrom(1, 10, 60) }),
    fc.record({ kind: fc.constant("drain" as const), endpoint }),
    fc.record({ kind: fc.constant("list" as const), reader: endpoint, missing: endpoint }),
);

const runStep = (session: TwoServiceGraph, keys: readonly string[], current: Step): readonly ReceivedAnswer[] => {
    const { graph, clock } = session;
    switch (current.kind) {
        case "send":
            return session.send(current.endpoint, "POST", keys[current.key]!);
        case "wait":
            clock.runUntil(clock.readMonotonicMs() + current.ms);
            return [];
        case "cut":
            graph.updatePartition("zone-a", "zone-b", current.cut);
            return [];
        case "refuse":
            graph.updateConnectionRefusal(current.endpoint, current.refuses);
            return [];
        case "slow":
            graph.endpoints.forEach(({ upstream }) => upstream.updateWorkFactor(current.factor));
            return [];
        case "drain":
            graph.getEndpoint(current.endpoint).core.lifecycle.handle("stopRequested");
            return [];
        case "list":
            graph.publishInstances(
                graph.listInstances().filter(instance => instance.endpoint !== current.missing),
                [current.reader],
            );
            return [];
    }
};

describe("what must always hold, over random cuts, refusals, slowness, drains and differing lists", () => {
    it("runs a non-idempotent request at most once at each service, and answers every sending once", () => {
        fc.assert(
            fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), fc.nat(1_000), (steps, seed) => {
                const session = createTwoServiceGraph(undefined, seed);
                const keys = Array.from({ length: 6 }, session.createId);
                const answers = steps.map(current => ({ current, received: runStep(session, keys, current) }));
                session.clock.runUntil(session.clock.readMonotonicMs() + 20_000);
                expect([...countRuns(session).values()].filter(runs => runs > 1)).toEqual([]);
                answers.filter(({ current }) => current.kind === "send").forEach(({ received }) =>
                    expect(received).toHaveLength(1)
                );
            }),
            { seed: 13, numRuns: 300 },
        );
    });

    it("never tells a request as not run when it has run by then", () => {
        fc.assert(
            fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), fc.nat(1_000), (steps, seed) => {
                const session = createTwoServiceGraph(undefined, seed);
                const keys = Array.from({ length: 6 }, session.createId);
                const sent = steps.flatMap(current => {
                    const received = runStep(session, keys, current);
                    return current.kind === "send" ? [{ key: keys[current.key]!, received }] : [];
                });
                session.clock.runUntil(session.clock.readMonotonicMs() + 20_000);
                const runs = countRuns(session);
                const neverRun = keys.filter(key => !runs.has(key));
                const lastByKey = new Map(sent.map(({ key, received }) => [key, readOutcome(received[0])]));
                lastByKey.forEach((outcome, key) => {
                    if (outcome === "completed" || outcome === "failed") {
                        expect(neverRun).not.toContain(key);
                    }
                });
                sent.filter(({ received }) => readOutcome(received[0]) === "not-run").forEach(({ key }) => {
                    const others = sent.filter(other => other.key === key).map(other => readOutcome(other.received[0]));
                    const ranForAnother = others.some(outcome => outcome !== "not-run");
                    expect(runs.has(key) && !ranForAnother).toBe(false);
                });
            }),
            { seed: 14, numRuns: 300 },
        );
    });

    it("never lets a version revert, whatever order and age of logs the nodes read", () => {
        const reads = fc.array(fc.tuple(endpoint, fc.nat(5)), { maxLength: 40 });
        fc.assert(
            fc.property(reads, order => {
                const { graph } = createTwoServiceGraph();
                const logs = [1, 2, 3, 4, 5].reduce<readonly PolicyLog[]>(
                    (list, version) => [...list, patchSlots(list[list.length - 1]!, version)],
                    [graph.policyLog],
                );
                const highest = new Map<string, number>();
                order.forEach(([name, index]) => {
                    graph.publishPolicy(logs[index]!, 1, [name]);
                    const version = graph.getEndpoint(name).core.policy.inForce!.version;
                    expect(version).toBe(Math.max(highest.get(name) ?? 1, index + 1));
                    highest.set(name, version);
                });
            }),
            { seed: 15, numRuns: 100 },
        );
    });

    it("sends no new work to a leaving instance once an answer has told of it, and cuts off none in flight", () => {
        const { graph, clock, runs, send } = createTwoServiceGraph(createTwoServicePolicy(40, 20));
        const inFlight = send("desk-a", "GET");
        clock.runUntil(clock.readMonotonicMs() + 40);
        graph.getEndpoint("store-a").core.lifecycle.handle("stopRequested");
        const refused = send("desk-a", "GET");
        clock.runUntil(clock.readMonotonicMs() + 1_000);
        expect(inFlight[0]).toMatchObject({ isComplete: true, head: { status: 200 } });
        expect(refused[0]).toMatchObject({ isComplete: true, head: { status: 200 } });
        const countRefused = (): number => graph.getEndpoint("store-a").core.metrics.listRefusals()["leaving"] ?? 0;
        const before = runs.length;
        const refusedBefore = countRefused();
        Array.from({ length: 10 }, () => {
            send("desk-a", "GET");
            clock.runUntil(clock.readMonotonicMs() + 300);
        });
        const later = runs.slice(before).filter(run => run.endpoint.startsWith("store"));
        expect(later).toHaveLength(10);
        expect(new Set(later.map(run => run.endpoint))).toEqual(new Set(["store-b"]));
        expect(countRefused()).toBe(refusedBefore);
    });

    it("goes on serving a failure domain that is cut off from the other one", () => {
        const { graph, clock, send } = createTwoServiceGraph();
        graph.updatePartition("zone-a", "zone-b", true);
        const answers = ["desk-a", "desk-b"].map(name => {
            const received = send(name, "GET");
            clock.runUntil(clock.readMonotonicMs() + 1_000);
            return received[0]?.head?.status;
        });
        expect(answers).toEqual([200, 200]);
    });

    it("serves critical requests before look-ups that came earlier, and answers them all", () => {
        const policy = createTwoServicePolicy(16, 8);
        const patient = { maxLength: 100, maxWaitMs: 900 };
        const services = Object.entries(policy.services).map((
            [name, service],
        ) => [name, { ...service, queue: patient }]);
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
