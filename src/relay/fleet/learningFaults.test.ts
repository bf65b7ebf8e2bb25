/** Nodes whose calls or own code fail while they learn: each has to learn again by itself, and to say that it doesn't. */
import fc from "fast-check";
import { type LearningStep, learningSteps, type StepFault, VirtualTrackers } from "../../testing/virtualTrackers";

/** Time within which a change has to be in force, in milliseconds. */
const adoptionMs = 8_000;
/** Time after which a node that learns nothing mustn't say that it is current, in milliseconds. */
const maxSilenceMs = 5_000;
const nodeCount = 8;

let fleet: VirtualTrackers;

const startFleet = async (): Promise<void> => {
    fleet = new VirtualTrackers(nodeCount);
    fleet.store.organisations = [];
    await fleet.runFor(6_000);
};

const listOutdatedHosts = (version: number): readonly string[] =>
    fleet.nodes.filter(({ table }) => table?.version !== version).map(({ host }) => host);

const isCurrent = async (index: number): Promise<boolean> => {
    const query = { viewId: "", serial: 0, version: 0, waitMs: 0 };
    return (await fleet.nodes[index]!.tracker.awaitChanges(query)).isCurrent;
};

beforeEach(startFleet);

afterEach(() => fleet.stop());

describe("a node whose learning has failed", () => {
    const calls = learningSteps.filter(step => !step.startsWith("on"));
    const cases: readonly (readonly [StepFault, LearningStep])[] = [
        ...calls.flatMap(step => (["throw", "reject", "hang"] as const).map(fault => [fault, step] as const)),
        ["throw", "onRouting"],
        ["throw", "onUpstreams"],
    ];

    // Guards against nodes that learn nothing for good after one exception or one call that never ends.
    it.each(cases)("learns the next change in time when a %s of %s is over", async (fault, step) => {
        fleet.findFault = (host, failing) => failing === step ? fault : undefined;
        fleet.store.publishVersion(2);
        fleet.store.write(fleet.createRecord(1, { state: "draining", sequence: 5 }));
        await fleet.runFor(3_000);
        fleet.findFault = () => undefined;
        fleet.store.publishVersion(3);
        fleet.store.remove("i-2");
        await fleet.runFor(adoptionMs);
        expect(listOutdatedHosts(3)).toEqual([]);
        fleet.nodes.forEach(({ records }) => {
            expect(records.map(({ id }) => id)).not.toContain("i-2");
            expect(records.find(({ id }) => id === "i-1")?.state).toBe("draining");
        });
    });

    // Guards against nodes that answer others as if they were current although they have stopped learning.
    it.each(["throw", "reject", "hang"] as const)("doesn't say that it is current after a %s", async fault => {
        fleet.findFault = (host, step) => step === "watch" || step === "readAll" ? fault : undefined;
        await fleet.runFor(maxSilenceMs);
        const answers = await Promise.all(fleet.nodes.map((unused, index) => isCurrent(index)));
        expect(answers).not.toContain(true);
        // Followers have heard from these nodes until those knew that they aren't current.
        await fleet.runFor(3_000);
        const ages = fleet.nodes.map(({ tracker }) => tracker.readLearnedAgeMs());
        expect(Math.min(...ages)).toBeGreaterThan(2_000);
    });

    // Guards against followers that are told by a node that has stopped learning that nothing has changed.
    it.each(["throw", "reject", "hang"] as const)("holds no other node back after a %s", async fault => {
        const readers = new Set<string>();
        fleet.findFault = (host, step) => {
            readers.add(step === "watch" ? host : "");
            return undefined;
        };
        await fleet.runFor(3_000);
        fleet.findFault = (host, step) => readers.has(host) && step === "watch" ? fault : undefined;
        await fleet.runFor(1_000);
        fleet.store.publishVersion(2);
        await fleet.runFor(adoptionMs);
        expect(listOutdatedHosts(2).filter(host => !readers.has(host))).toEqual([]);
    });

    // Guards against a list of upstreams that is known but not in force, since passing it on has failed once.
    it("passes the list of upstreams on again when that has failed", async () => {
        fleet.findFault = (host, step) => step === "onUpstreams" ? "throw" : undefined;
        fleet.store.write(fleet.createRecord(1, { state: "draining", sequence: 5 }));
        await fleet.runFor(2_000);
        fleet.findFault = () => undefined;
        await fleet.runFor(adoptionMs);
        fleet.nodes.forEach(({ records }) => {
            expect(records.find(({ id }) => id === "i-1")?.state).toBe("draining");
        });
    });

    // Guards against a routing table that can't be applied and keeps the upstreams that come with it from being known.
    it("applies the upstreams that come with a table that it can't apply", async () => {
        fleet.findFault = (host, step) => step === "onRouting" ? "throw" : undefined;
        fleet.store.publishVersion(2);
        fleet.store.remove("i-2");
        await fleet.runFor(3_000);
        fleet.nodes.forEach(({ records }) => expect(records.map(({ id }) => id)).not.toContain("i-2"));
    });

    it("reports each failure with the name of the task", async () => {
        fleet.findFault = (host, step) => step === "watch" || step === "readTable" ? "throw" : undefined;
        await fleet.runFor(3_000);
        const failed = new Set(fleet.nodes.flatMap(({ failedTasks }) => failedTasks));
        expect([...failed].sort()).toEqual(["fleet", "table-proof"]);
    });
});

describe("nodes that ask others which have stopped learning", () => {
    // Guards against followers of nodes of another build that say that they are current although they have stopped.
    it("learn changes from the store in time", async () => {
        const watching = new Set<string>();
        fleet.store.isTurnedAway = (host, isStale) => {
            watching.add(isStale ? "" : host);
            return false;
        };
        await fleet.runFor(3_000);
        const stopped = fleet.nodes.filter(({ host }) => watching.has(host));
        expect(stopped.length).toBeLessThan(nodeCount);
        const query = { viewId: "", serial: 0, version: 0, waitMs: 0 };
        for (const { tracker } of stopped) {
            const changes = await tracker.awaitChanges(query);
            tracker.awaitChanges = () => Promise.resolve({ ...changes, isCurrent: true });
        }
        fleet.store.publishVersion(2);
        fleet.store.remove("i-2");
        await fleet.runFor(adoptionMs);
        expect(listOutdatedHosts(2)).toEqual([]);
        fleet.nodes.forEach(({ records }) => expect(records.map(({ id }) => id)).not.toContain("i-2"));
    });
});

describe("nodes whose learning fails in any order", () => {
    const faultArbitrary = fc.record({
        node: fc.nat(nodeCount - 1),
        step: fc.constantFrom(...learningSteps),
        fault: fc.constantFrom<StepFault>("throw", "reject", "hang"),
        fromMs: fc.nat(6_000),
        forMs: fc.integer({ min: 10, max: 4_000 }),
    });

    // Guards against a combination of failures after which a node never learns again.
    it("all learn the next change in time once the failures are over", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(faultArbitrary, { minLength: 1, maxLength: 12 }), async faults => {
                fleet.stop();
                await startFleet();
                const startedAtMs = fleet.clock.readMonotonicMs();
                fleet.findFault = (host, step) => {
                    const nowMs = fleet.clock.readMonotonicMs() - startedAtMs;
                    return faults.find(fault =>
                        fleet.nodes[fault.node]!.host === host && fault.step === step && nowMs >= fault.fromMs
                        && nowMs < fault.fromMs + fault.forMs
                    )?.fault;
                };
                fleet.store.publishVersion(2);
                await fleet.runFor(10_000);
                fleet.store.publishVersion(3);
                await fleet.runFor(adoptionMs);
                expect(listOutdatedHosts(3)).toEqual([]);
            }),
            { numRuns: 15, seed: 39 },
        );
    });
});
