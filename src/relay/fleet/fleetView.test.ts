import fc from "fast-check";
import { type UpstreamRecord } from "../../routing/types";
import { createUpstreamRecord } from "../../testing/createRoute";
import { FleetView } from "./fleetView";
import { type FleetBatch } from "./types";

const createBatch = (era: number, revision: number, changes: Partial<FleetBatch> = {}): FleetBatch => ({
    position: { era, revision },
    isFull: false,
    records: [],
    removedIds: [],
    gone: [],
    ...changes,
});

const createView = () => {
    const clock = { nowMs: 0 };
    const view = new FleetView("v", () => clock.nowMs);
    const listIds = (): string => view.list().map(({ id }) => id).sort().join(",");
    return { clock, view, listIds };
};

describe("FleetView", () => {
    it("refuses batches that are older or don't follow on what it knows", () => {
        const { view, listIds } = createView();
        const records = [createUpstreamRecord({ id: "a" })];
        expect(view.apply(createBatch(1, 5))).toBe("gap");
        expect(view.apply(createBatch(1, 5, { isFull: true, records }))).toBe("applied");
        expect(view.apply(createBatch(1, 4, { isFull: true }))).toBe("outdated");
        expect(view.apply(createBatch(0, 900, { removedIds: ["a"] }))).toBe("outdated");
        expect(view.apply(createBatch(2, 6))).toBe("gap");
        expect(listIds()).toBe("a");
    });

    it("lists the changes since a cursor, and everything for the cursor of another view", () => {
        const { view } = createView();
        const records = ["a", "b"].map(id => createUpstreamRecord({ id }));
        view.apply(createBatch(1, 5, { isFull: true, records }));
        const { serial } = view;
        view.apply(createBatch(1, 6, { removedIds: ["a"], records: [createUpstreamRecord({ id: "c" })] }));
        const changes = view.listChanges({ viewId: "v", serial })!;
        expect(changes.isFull).toBe(false);
        expect(changes.records.map(({ id }) => id)).toEqual(["c"]);
        expect(changes.removedIds).toEqual(["a"]);
        const all = view.listChanges({ viewId: "other", serial })!;
        expect(all.isFull).toBe(true);
        expect(all.records.map(({ id }) => id).sort()).toEqual(["b", "c"]);
    });
});

describe("a view after an outage of the store", () => {
    const createReturnedView = () => {
        const context = createView();
        const records = ["a", "b"].map(id => createUpstreamRecord({ id, sequence: 1 }));
        context.view.apply(createBatch(1, 5, { isFull: true, records }));
        context.view.beginRenewal();
        return context;
    };
    const readStates = (view: FleetView): Readonly<Record<string, string>> =>
        Object.fromEntries(view.list().map(({ id, state }) => [id, state]));

    it("takes an upstream without an entry for missing until its time to renew it is over", () => {
        const { clock, view } = createReturnedView();
        view.apply(createBatch(1, 6, { removedIds: ["a"] }));
        expect(readStates(view)).toEqual({ a: "missing", b: "ready" });
        const [changes] = view.listChanges({ viewId: "v", serial: 2 })!.records;
        expect(changes).toMatchObject({ id: "a", state: "missing" });
        clock.nowMs += 3_000;
        view.expireMissing();
        expect(readStates(view)).toEqual({ b: "ready" });
    });

    // Guards against requests to an upstream that has written its entry again and then leaves.
    it("removes at once an upstream that has written its entry since and whose entry is removed", () => {
        const { view } = createReturnedView();
        view.apply(createBatch(1, 6, { removedIds: ["a"] }));
        view.apply(createBatch(1, 7, { records: [createUpstreamRecord({ id: "a", sequence: 2 })] }));
        view.apply(createBatch(1, 8, { removedIds: ["a"] }));
        expect(readStates(view)).toEqual({ b: "ready" });
    });

    it("doesn't take an entry from before the outage for a renewed one", () => {
        const { view } = createReturnedView();
        view.apply(createBatch(1, 6, { records: [createUpstreamRecord({ id: "a", sequence: 2 })] }));
        view.apply(createBatch(1, 7, { removedIds: ["a"] }));
        expect(readStates(view)).toEqual({ a: "missing", b: "ready" });
    });

    it("ends the time to renew entries when another node knows that it is over", () => {
        const { view } = createReturnedView();
        view.apply(createBatch(1, 6, { removedIds: ["a"] }));
        view.adoptRenewal(0);
        view.expireMissing();
        view.apply(createBatch(1, 7, { removedIds: ["b"] }));
        expect(readStates(view)).toEqual({});
    });

    // Guards against dropping live upstreams after an outage of the store that only other nodes have noticed.
    it("takes an upstream for missing in a time to renew entries that another node has told it of", () => {
        const { view } = createView();
        const records = ["a", "b"].map(id => createUpstreamRecord({ id, sequence: 1 }));
        view.apply(createBatch(1, 5, { isFull: true, records }));
        view.apply(createBatch(1, 6, { records: [createUpstreamRecord({ id: "a", sequence: 2 })] }));
        view.adoptRenewal(1_500);
        view.apply(createBatch(1, 7));
        view.apply(createBatch(1, 8, { removedIds: ["a"] }));
        expect(readStates(view)).toEqual({ a: "missing", b: "ready" });
        view.adoptRenewal(1_400);
        view.apply(createBatch(1, 9, { records: [createUpstreamRecord({ id: "a", sequence: 3 })] }));
        view.adoptRenewal(1_300);
        view.apply(createBatch(1, 10, { removedIds: ["a"] }));
        expect(readStates(view)).toEqual({ b: "ready" });
    });

    it("forgets a missing upstream that another node has told it of", () => {
        const { clock, view } = createView();
        const missing = createUpstreamRecord({ id: "a", state: "missing" });
        view.apply(createBatch(1, 5, { isFull: true, records: [missing] }));
        clock.nowMs += 3_000;
        view.expireMissing();
        expect(readStates(view)).toEqual({});
    });
});

/** A store with the upstreams that write to it. */
class History {
    readonly alive = new Map<string, UpstreamRecord>();
    items = new Map<string, UpstreamRecord>();
    era = 1;
    revision = 1;
    private copy = { items: new Map<string, UpstreamRecord>(), revision: 1 };
    private bornAtMs = 0;

    start(id: string): void {
        this.bornAtMs += 1;
        this.write(createUpstreamRecord({ id, bornAtMs: this.bornAtMs, sequence: 1 }));
    }

    update(id: string, state?: "draining"): void {
        const record = this.alive.get(id);
        if (record) {
            this.write({ ...record, sequence: record.sequence + 1, state: state ?? record.state });
        }
    }

    remove(id: string): void {
        const record = this.alive.get(id);
        if (record) {
            this.alive.delete(id);
            this.items.delete(id);
            this.revision += 1;
        }
    }

    recordCopy(): void {
        this.copy = { items: new Map(this.items), revision: this.revision };
    }

    adoptCopy(): void {
        this.items = new Map(this.copy.items);
        this.revision = this.copy.revision;
        this.era += 1;
    }

    private write(record: UpstreamRecord): void {
        this.alive.set(record.id, record);
        this.items.set(record.id, record);
        this.revision += 1;
    }
}

describe("a view that follows a store with any history", () => {
    const ids = ["a", "b", "c"];
    const steps = fc.array(
        fc.tuple(
            fc.constantFrom("start", "update", "drain", "remove", "recordCopy", "adoptCopy", "read", "wait"),
            fc.constantFrom(...ids),
        ),
        { maxLength: 60, size: "max" },
    );

    it("never lists an upstream that it has seen leave, nor as ready one that it has seen draining", () => {
        fc.assert(
            fc.property(steps, history => {
                const { clock, view } = createView();
                const store = new History();
                const drained = new Map<string, UpstreamRecord>();
                const listed = new Map<string, UpstreamRecord>();
                const removed = new Map<string, UpstreamRecord>();
                const read = (): void => {
                    view.apply(createBatch(store.era, store.revision, {
                        isFull: true,
                        records: [...store.items.values()],
                    }));
                    clock.nowMs += 10;
                    view.expireMissing();
                    const records = new Map(view.list().map(record => [record.id, record]));
                    listed.forEach((record, id) => records.has(id) || removed.set(id, record));
                    listed.clear();
                    records.forEach((record, id) => {
                        listed.set(id, record);
                        if (record.state === "draining") {
                            drained.set(id, record);
                        }
                    });
                };
                const isSameRun = (record: UpstreamRecord, other: UpstreamRecord | undefined): boolean =>
                    record.bornAtMs === other?.bornAtMs;
                history.forEach(([step, id]) => {
                    switch (step) {
                        case "start":
                            store.start(id);
                            break;
                        case "update":
                            store.update(id);
                            break;
                        case "drain":
                            store.update(id, "draining");
                            break;
                        case "wait":
                            clock.nowMs += 3_000;
                            break;
                        case "read":
                            read();
                            break;
                        default:
                            store[step](id as never);
                    }
                    if (step !== "read") {
                        return;
                    }
                    view.list().forEach(record => {
                        const gone = removed.get(record.id);
                        expect(isSameRun(record, gone) && record.sequence <= gone!.sequence).toBe(false);
                        expect(record.state === "ready" && isSameRun(record, drained.get(record.id))).toBe(false);
                    });
                });
                // The store becomes stable: what lives is written again, and the view agrees after the time to renew.
                store.alive.forEach((unused, id) => store.update(id));
                [...store.items.keys()].filter(id => !store.alive.has(id)).forEach(id => store.items.delete(id));
                store.revision += 1_000;
                read();
                clock.nowMs += 3_000;
                read();
                expect(view.list().map(({ id }) => id).sort()).toEqual([...store.alive.keys()].sort());
            }),
            { numRuns: 2_000, seed: 17 },
        );
    });
});
