/** Nodes that track the fleet over a virtual network, each with an upstream in the virtual store. */
import { createRandom } from "../_lib/createRandom";
import { FleetTracker } from "../relay/fleet/fleetTracker";
import { type ChangesClient, type StoreReader } from "../relay/fleet/types";
import { type RoutingTable, type UpstreamRecord } from "../routing/types";
import { awaitDelay } from "../tasks/_lib/clock";
import { createUpstreamRecord } from "./createRoute";
import { VirtualClock } from "./virtualClock";
import { VirtualStore } from "./virtualStore";

const hopMs = 1;
/** Time that a query may take in addition to its wait, in milliseconds. */
const answerTimeoutMs = 400;
const stepMs = 10;

/** Calls by which a node learns, and the steps in which it takes in what it has learned. */
export const learningSteps = [
    "readAll",
    "watch",
    "ping",
    "readPosition",
    "readTable",
    "queryChanges",
    "queryTable",
    "onRouting",
    "onUpstreams",
] as const;

export type LearningStep = typeof learningSteps[number];

/** How a step fails: by an exception, a rejected promise, or a promise that is never settled. */
export type StepFault = "throw" | "reject" | "hang";

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

    /** Returns how a step of the node at a host fails; undefined if it doesn't. */
    findFault: (host: string, step: LearningStep) => StepFault | undefined = () => undefined;

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
            reader: this.createReader(host),
            client: this.createClient(host),
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
                this.checkFault(host, "onRouting");
                node.table = table;
            },
            onUpstreams: records => {
                this.checkFault(host, "onUpstreams");
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

    /** Throws if a step that returns no promise is to fail. */
    private checkFault(host: string, step: LearningStep): void {
        if (this.findFault(host, step) !== undefined) {
            throw new Error(`${step} fails`);
        }
    }

    /** Makes a call unless it is to fail. */
    private callUnlessFaulty<Result>(host: string, step: LearningStep, call: () => Promise<Result>): Promise<Result> {
        const fault = this.findFault(host, step);
        if (fault === undefined) {
            return call();
        }
        if (fault === "throw") {
            throw new Error(`${step} throws`);
        }
        return fault === "reject" ? Promise.reject(new Error(`${step} rejects`)) : new Promise(() => undefined);
    }

    private createReader(host: string): StoreReader {
        const reader = this.store.createReader(host);
        return {
            readAll: options => this.callUnlessFaulty(host, "readAll", () => reader.readAll(options)),
            watch: (...args) => this.callUnlessFaulty(host, "watch", () => reader.watch(...args)),
            ping: () => this.callUnlessFaulty(host, "ping", () => reader.ping()),
            readPosition: () => this.callUnlessFaulty(host, "readPosition", () => reader.readPosition()),
            readTable: () => this.callUnlessFaulty(host, "readTable", () => reader.readTable()),
            close: () => reader.close(),
        };
    }

    private createClient(host: string): ChangesClient {
        return {
            queryChanges: (peer, query) =>
                this.callUnlessFaulty(host, "queryChanges", () =>
                    Promise.race([
                        this.forwardQuery(peer, host, node => node.tracker.awaitChanges(query)),
                        awaitDelay(this.clock, query.waitMs + answerTimeoutMs).then(() => undefined),
                    ])),
            queryTable: (peer, version) =>
                this.callUnlessFaulty(host, "queryTable", () =>
                    Promise.race([
                        this.forwardQuery(peer, host, node => Promise.resolve(node.tracker.describeTable(version))),
                        awaitDelay(this.clock, answerTimeoutMs).then(() => undefined),
                    ])),
            close: () => undefined,
        };
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
