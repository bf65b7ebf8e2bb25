/** Load pattern: other programs write to the store, entries whose hosts have no node, or without end. */
import { VirtualTrackers } from "../../testing/virtualTrackers";

const adoptionMs = 2_000;
const nodeCount = 20;
const ghostCount = 20;

let fleet: VirtualTrackers;

afterEach(() => fleet.stop());

const startFleet = async (): Promise<void> => {
    fleet = new VirtualTrackers(nodeCount);
    await fleet.runFor(12_000);
};

const addGhosts = (): void => {
    for (let index = 0; index < ghostCount; index += 1) {
        fleet.store.write(fleet.createRecord(100 + index, { id: `ghost-${index}`, host: `10.9.0.${index}` }));
    }
};

const measureMaxDelay = async (): Promise<number> => {
    let maxDelayMs = 0;
    for (let version = 2; version < 14; version += 1) {
        fleet.store.publishVersion(version);
        let delayMs = 0;
        while (fleet.nodes.some(({ table }) => table?.version !== version) && delayMs < 10_000) {
            await fleet.runFor(50);
            delayMs += 50;
        }
        maxDelayMs = Math.max(maxDelayMs, delayMs);
        await fleet.runFor(700);
    }
    return maxDelayMs;
};

const countCalls = async (): Promise<number> => {
    const before = fleet.store.callCount;
    await fleet.runFor(30_000);
    return fleet.store.callCount - before;
};

describe("a fleet beside a program that writes to the store without end", () => {
    /** Writes 50 keys a second that change nothing for the nodes. */
    const writeFor = async (durationMs: number): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
            fleet.store.remove("odd");
            await fleet.runFor(20);
        }
    };

    // Guards against watches that are answered and sent again at the rate of another program's writes.
    it("makes no more calls to the store than a few a second for each node that watches it", async () => {
        await startFleet();
        const before = fleet.store.callCount;
        await writeFor(10_000);
        const watchers = 4;
        expect(fleet.store.callCount - before).toBeLessThanOrEqual(watchers * 10 * 3);
    });

    it("learns a change in time", async () => {
        await startFleet();
        await writeFor(3_000);
        fleet.store.publishVersion(2);
        await writeFor(adoptionMs);
        expect(fleet.nodes.filter(({ table }) => table?.version !== 2)).toEqual([]);
    });
});

describe("a fleet with entries that have no node behind them", () => {
    // Guards against nodes that learn late because they wait for hosts that never answer.
    it("learns each change in time", async () => {
        await startFleet();
        addGhosts();
        expect(await measureMaxDelay()).toBeLessThanOrEqual(adoptionMs);
    });

    // Guards against a fleet whose nodes all read the store because the nodes to ask don't exist.
    it("makes few more calls to the store than without them", async () => {
        await startFleet();
        const before = await countCalls();
        addGhosts();
        await fleet.runFor(30_000);
        expect(await countCalls()).toBeLessThanOrEqual(before * 3);
    });
});
