/** Nodes that track the fleet over a virtual network, each with an upstream in the virtual store. */
import { createRandom } from "../_lib/createRandom";
import { FleetTracker } from "../relay/fleet/fleetTracker";
import { type RoutingTable, type UpstreamRecord } from "../routing/types";
import { awaitDelay } from "../tasks/_lib/clock";
import { createUpstreamRecord } from "./createRoute";
import { VirtualClock } from "./virtualClock";
import { VirtualStore } from "./virtualStore";

const hopMs = 1;
/** Time that a query may take in addition to its wait, in milliseconds. */
const answerTimeoutMs = 400;
const stepMs = 10;

/** A node that tracks the fleet. */
export interface TrackerNode {
    readonly host: string;
    readonly failureDomain: string;
    readonly tracker: FleetTracker;
    table: RoutingTable | undefined;
    records: readonly UpstreamRecord[];
    /** Tasks that have failed, in order. */
    readonly failedTasks: string[];
    /** Whether other nodes get no answer from the node. */
    isSilent: boolean;
}

/** Starts nodes and runs them on a virtual clock. */
export class VirtualTrackers {
    readonly clock = new VirtualClock();
    readonly store = new VirtualStore(this.clock);
    readonly nodes: TrackerNode[] = [];

    /** Whether two nodes are cut off from each other. */
    isCut: (from: string, to: string) => boolean = () => false;

    /** Registers the upstreams of `count` nodes over two failure domains, and starts the nodes. */
    constructor(count: number) {
        const indexes = Array.from({ length: count }, (unused, index) => index);
        indexes.forEach(index => this.store.write(this.createRecord(index)));
        indexes.forEach(index => this.startNode(index, true));
    }

    /** Creates the record of the upstream beside a node. */
    createRecord(index: number, changes: Partial<UpstreamRecord> = {}): UpstreamRecord {
        const failureDomain = index % 2 === 0 ? "a" : "b";
        return createUpstreamRecord({ id: `i-${index}`, host: `10.0.0.${index}`, failureDomain, ...changes });
    }

    /** Starts a node, as at first or after a restart that has lost all that the node knew. */
    startNode(index: number, isFirstStart = false): TrackerNode {
        const { host, failureDomain } = this.createRecord(index);
        const seed = index + 1_000 * this.nodes.length;
        const tracker = new FleetTracker({
            host,
            failureDomain,
            viewId: `${host}/${seed}`,
            isFirstStart,
            reader: this.store.createReader(host),
            client: {
                queryChanges: (peer, query) =>
                    Promise.race([
                        this.forwardQuery(peer, host, node => node.tracker.awaitChanges(query)),
                        awaitDelay(this.clock, query.waitMs + answerTimeoutMs).then(() => undefined),
                    ]),
                queryTable: (peer, version) =>
                    Promise.race([
                        this.forwardQuery(peer, host, node => Promise.resolve(node.tracker.describeTable(version))),
                        awaitDelay(this.clock, answerTimeoutMs).then(() => undefined),
                    ]),
                close: () => undefined,
            },
            clock: this.clock,
            sampleRandom: createRandom(seed),
        });
        const node: TrackerNode = {
            host,
            failureDomain,
            tracker,
            table: undefined,
            records: [],
            failedTasks: [],
            isSilent: false,
        };
        this.nodes[index]?.tracker.stop();
        this.nodes[index] = node;
        tracker.start({
            onRouting: table => {
                node.table = table;
            },
            onUpstreams: records => {
                node.records = records;
            },
            onReachability: () => undefined,
            onUnreadable: () => undefined,
            onReadingFrom: () => undefined,
            onEra: () => undefined,
            onLearningFailed: task => node.failedTasks.push(task),
            readTable: () => node.table,
        });
        return node;
    }

    /** Advances the clock, and lets the promises that have become due continue at each step. */
    async runFor(durationMs: number): Promise<void> {
        const untilMs = this.clock.readMonotonicMs() + durationMs;
        while (this.clock.readMonotonicMs() < untilMs) {
            this.clock.runUntil(this.clock.readMonotonicMs() + stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    stop(): void {
        this.nodes.forEach(({ tracker }) => tracker.stop());
    }

    private async forwardQuery<Answer>(
        host: string,
        from: string,
        query: (node: TrackerNode) => Promise<Answer>,
    ): Promise<Answer | undefined> {
        await awaitDelay(this.clock, hopMs);
        const node = this.nodes.find(candidate => candidate.host === host);
        if (!node || node.isSilent || this.isCut(from, host)) {
            return new Promise(() => undefined);
        }
        const answer = await query(node);
        await awaitDelay(this.clock, hopMs);
        // Answers cross the network as text.
        return node.isSilent ? new Promise(() => undefined) : JSON.parse(JSON.stringify(answer)) as Answer;
    }
}
