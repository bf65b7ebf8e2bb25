/** Load pattern: hundreds of nodes that all want each change of a store whose calls are limited. */
import { type TrackerNode, VirtualTrackers } from "../../testing/virtualTrackers";

/** Time after which a change has to be in force on all nodes that reach the store, in milliseconds. */
const changeDeadlineMs = 3_000;

let fleet: VirtualTrackers;

afterEach(() => fleet.stop());

const startFleet = async (count: number): Promise<VirtualTrackers> => {
    fleet = new VirtualTrackers(count);
    await fleet.runFor(12_000);
    return fleet;
};

const listIds = ({ records }: TrackerNode): readonly string[] => records.map(({ id }) => id).sort();

const listOutdatedHosts = (nodes: readonly TrackerNode[]): readonly string[] =>
    nodes.filter(({ table }) => table?.version !== 2).map(({ host }) => host);

const countCalmCalls = async (count: number): Promise<number> => {
    const { store } = await startFleet(count);
    const before = store.callCount;
    await fleet.runFor(30_000);
    fleet.stop();
    return store.callCount - before;
};

/** Finds the hosts of a failure domain that watch the store: those that call it without allowing old answers. */
const findWatchers = async (failureDomain: string): Promise<readonly TrackerNode[]> => {
    const hosts = new Set<string>();
    fleet.store.isTurnedAway = (host, isStale) => {
        if (!isStale) {
            hosts.add(host);
        }
        return false;
    };
    await fleet.runFor(4_000);
    return fleet.nodes.filter(node => node.failureDomain === failureDomain && hosts.has(node.host));
};

describe("a fleet that reads the store", () => {
    it("reads all records and the routing table on all nodes", async () => {
        const { nodes } = await startFleet(20);
        nodes.forEach(node => {
            expect(listIds(node)).toHaveLength(20);
            expect(node.table?.version).toBe(1);
        });
    });

    it("makes no more calls to the store with more nodes", async () => {
        const few = await countCalmCalls(20);
        const many = await countCalmCalls(80);
        expect(few).toBeGreaterThan(0);
        expect(many).toBeLessThanOrEqual(few + 4);
        expect(many).toBeLessThan(80);
    });

    it("applies changes on all nodes in time", async () => {
        const { nodes, store } = await startFleet(40);
        store.publishVersion(2);
        store.remove("i-7");
        await fleet.runFor(1_500);
        nodes.forEach(node => {
            expect(node.table?.version).toBe(2);
            expect(listIds(node)).not.toContain("i-7");
        });
    });
});

describe("a failure domain whose watching nodes fail", () => {
    it("applies a change in time when they fall silent as it is made", async () => {
        const { nodes, store } = await startFleet(40);
        (await findWatchers("a")).forEach(node => node.isSilent = true);
        store.publishVersion(2);
        await fleet.runFor(changeDeadlineMs);
        expect(listOutdatedHosts(nodes)).toEqual([]);
    });

    it("applies a change in time when the store turns them away but serves the others", async () => {
        const { nodes, store } = await startFleet(40);
        const watchers = await findWatchers("a");
        expect(watchers.length).toBeGreaterThan(0);
        store.isTurnedAway = host => watchers.some(node => node.host === host);
        await fleet.runFor(100);
        store.publishVersion(2);
        await fleet.runFor(changeDeadlineMs);
        expect(listOutdatedHosts(nodes)).toEqual([]);
        await fleet.runFor(10_000);
        store.isTurnedAway = () => false;
        await fleet.runFor(5_000);
        expect((await findWatchers("a")).length).toBeLessThanOrEqual(3);
    });

    it("keeps its records through an outage of the store, with few calls, and applies what changed meanwhile", async () => {
        const { nodes, store } = await startFleet(40);
        store.isTurnedAway = () => true;
        const before = store.callCount;
        await fleet.runFor(10_000);
        expect(store.callCount - before).toBeLessThan(40 * 10);
        nodes.forEach(node => expect(listIds(node)).toHaveLength(40));
        store.publishVersion(2);
        store.isTurnedAway = () => false;
        await fleet.runFor(changeDeadlineMs);
        expect(listOutdatedHosts(nodes)).toEqual([]);
    });
});

describe("watching nodes that are cut off from the store", () => {
    const drainMs = 2_000;

    // Guards against requests to an upstream that has drained: a node whose watch hangs said that nothing had changed.
    it.each(
        [1, 2].flatMap(count => [0, 150, 300, 600, 900, 1_300, 1_900].map(cutAfterMs => [count, cutAfterMs] as const)),
    )(
        "%i of a failure domain, %i ms after the last change: the others drop an upstream in time",
        async (count, afterMs) => {
            const { store, nodes } = await startFleet(40);
            const watchers = (await findWatchers("a")).slice(0, count);
            expect(watchers).toHaveLength(count);
            store.write(fleet.createRecord(9, { sequence: 2, warmupLeftMs: 1 }));
            await fleet.runFor(afterMs);
            const cutHosts = watchers.map(({ host }) => host);
            store.isCut = host => cutHosts.includes(host);
            const others = nodes.filter(({ host }) => !cutHosts.includes(host));
            for (const id of ["i-5", "i-6", "i-8"]) {
                await fleet.runFor(50);
                store.remove(id);
                await fleet.runFor(drainMs);
                expect(others.filter(node => listIds(node).includes(id)).map(({ host }) => host)).toEqual([]);
            }
            store.isCut = () => false;
            await fleet.runFor(8_000);
            store.isTurnedAway = () => false;
            expect((await findWatchers("a")).length).toBeLessThanOrEqual(3);
        },
    );

    it("is told at once by a node that loses the store while it holds a query", async () => {
        const { store } = await startFleet(20);
        const [watcher] = await findWatchers("a");
        const { tracker, host } = watcher!;
        const first = await tracker.awaitChanges({ viewId: "", serial: 0, version: 1, waitMs: 1 });
        store.isCut = reader => reader === host;
        const startedAtMs = fleet.clock.readMonotonicMs();
        let wasCurrent = first.isCurrent;
        while (wasCurrent) {
            const answer = tracker.awaitChanges({
                viewId: first.viewId,
                serial: first.serial,
                version: 1,
                waitMs: 200,
            });
            await fleet.runFor(210);
            wasCurrent = (await answer).isCurrent;
        }
        expect(fleet.clock.readMonotonicMs() - startedAtMs).toBeLessThan(1_500);
    });
});

describe("a store that serves again the nodes that it turned away", () => {
    /** Time after which an upstream that has left must get no new requests, in milliseconds. */
    const drainMs = 2_000;
    const turnedAway = [0, 1, 4, 5, 8, 9];

    /** Turns some nodes away until their upstreams' entries have lapsed and been written again. */
    const endOutage = async (): Promise<void> => {
        const { store } = await startFleet(20);
        const hosts = turnedAway.map(index => fleet.createRecord(index).host);
        store.isTurnedAway = host => hosts.includes(host);
        await fleet.runFor(4_600);
        turnedAway.forEach(index => store.remove(`i-${index}`));
        await fleet.runFor(8_000);
        store.isTurnedAway = () => false;
        turnedAway.forEach(index => store.write(fleet.createRecord(index, { sequence: 10 })));
    };

    // Guards against requests to an upstream whose removal is taken for a lapsed entry and held back.
    it.each([0, 100, 500, 1_000, 2_000])(
        "drops an upstream in time whose entry is removed %i ms after it was written again",
        async afterMs => {
            await endOutage();
            await fleet.runFor(afterMs);
            fleet.store.remove("i-4");
            await fleet.runFor(drainMs);
            expect(fleet.nodes.filter(node => listIds(node).includes("i-4")).map(({ host }) => host)).toEqual([]);
            fleet.nodes.forEach(node => expect(listIds(node)).toHaveLength(19));
        },
    );
});

describe("a store that comes back from an older copy", () => {
    it("doesn't bring back an upstream that has left, also not on a node that starts then", async () => {
        const { nodes, store } = await startFleet(20);
        store.recordCopy();
        store.remove("i-4");
        store.publishVersion(2);
        await fleet.runFor(2_000);
        store.adoptCopy();
        await fleet.runFor(500);
        const restarted = fleet.startNode(6);
        await fleet.runFor(4_500);
        expect(listIds(restarted)).toHaveLength(19);
        nodes.forEach(node => {
            expect(listIds(node)).not.toContain("i-4");
            expect(node.table?.version).toBe(2);
        });
        store.write(fleet.createRecord(4, { bornAtMs: 500 }));
        store.publishVersion(3);
        await fleet.runFor(changeDeadlineMs);
        nodes.forEach(node => {
            expect(listIds(node)).toContain("i-4");
            expect(node.table?.version).toBe(3);
        });
    });
});

describe("a node that restarts", () => {
    it("takes over the view of another node while the store is away", async () => {
        const { store } = await startFleet(20);
        store.remove("i-4");
        await fleet.runFor(2_000);
        const known = fleet.nodes[0]!.records;
        store.isTurnedAway = () => true;
        await fleet.runFor(1_000);
        const restarted = fleet.startNode(8);
        restarted.tracker.receivePeers(known);
        await fleet.runFor(8_000);
        expect(listIds(restarted)).toHaveLength(19);
        expect(restarted.table?.version).toBe(1);
    });

    it("is ready at once when all nodes restart together", async () => {
        const { nodes } = await startFleet(40);
        nodes.forEach((unused, index) => fleet.startNode(index));
        await fleet.runFor(250);
        nodes.forEach(node => {
            expect(listIds(node)).toHaveLength(40);
            expect(node.table?.version).toBe(1);
        });
    });
});
