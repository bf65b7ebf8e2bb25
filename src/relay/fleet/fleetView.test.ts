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
