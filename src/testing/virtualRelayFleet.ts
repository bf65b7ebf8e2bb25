/** Relay nodes with their upstreams on a virtual clock: all that decides is the product's, only the network is faked. */
import pino from "pino";
import { createRandom } from "../_lib/createRandom";
import { relayTimerTickMs } from "../constants";
import { AnswerTimes } from "../relay/_lib/answerTimes";
import { createLoadReport } from "../relay/_lib/createLoadReport";
import { RetryBudgets } from "../relay/_lib/retryBudgets";
import { ActiveRequests } from "../relay/activeRequests";
import { Entry, type SendHop } from "../relay/entry";
import { Ingress } from "../relay/ingress";
import { EventLog } from "../relay/log";
import { RelayMetrics } from "../relay/metrics";
import { ActiveRouting } from "../relay/routing";
import { Shedding } from "../relay/shedding";
import { SlotQueue } from "../relay/slotQueue";
import { type HopHandler, type HopRequest } from "../relay/types";
import { UpstreamDirectory } from "../relay/upstreamDirectory";
import { type Route, type UpstreamRecord } from "../routing/types";
import { TimerWheel } from "../tasks/_lib/timerWheel";
import { createRecord, createTable } from "./createRoute";
import { type FakeCallRequest, FakeDispatch } from "./fakeExchange";
import { testNames } from "./startRelayFleet";
import { type VirtualClock } from "./virtualClock";
import { type RouteWork, VirtualRelayUpstream } from "./virtualRelayUpstream";

/** One service of the fleet. */
export interface VirtualService {
    readonly name: string;
    readonly slots: number;
    /** Factors on the time of its work, of one instance in each failure domain. */
    readonly speeds: readonly number[];
}

/** What a fleet is made of. */
export interface VirtualFleetOptions {
    readonly clock: VirtualClock;
    readonly seed: number;
    readonly services: readonly VirtualService[];
    readonly routes: readonly Route[];
    /** What running a request of each route takes, by the route's name. */
    readonly work: Readonly<Record<string, RouteWork>>;
}

const hopLatencyMs = 1;
const localLatencyMs = 0.1;
/** The retry budget of the users' deployments. */
const retryBudgetOptions = { ratio: 0.2, slack: 47, windowMs: 10_000 };

/** One node with its upstream. */
class VirtualRelayNode {
    readonly upstream: VirtualRelayUpstream;
    private readonly entry: Entry;
    private readonly ingress: Ingress;
    private readonly directory: UpstreamDirectory;
    private readonly budgets: RetryBudgets;

    constructor(
        readonly record: UpstreamRecord,
        private readonly fleet: VirtualRelayFleet,
        { clock, seed, routes, work }: VirtualFleetOptions,
        speed: number,
    ) {
        const readNowMs = clock.readMonotonicMs;
        const sampleRandom = createRandom(seed);
        const wheel = new TimerWheel(clock, relayTimerTickMs);
        const log = new EventLog(pino({ level: "silent" }), readNowMs);
        const activeRequests = new ActiveRequests(testNames.callSeparator);
        this.upstream = new VirtualRelayUpstream(clock, {
            slots: record.slots,
            speed,
            sampleRandom: createRandom(seed + 1),
            work,
            call: request => clock.schedule(localLatencyMs, () => this.send(request)),
        });
        const slots = new SlotQueue(wheel, readNowMs);
        slots.updateSlots(record.slots);
        this.directory = new UpstreamDirectory(record.failureDomain, readNowMs);
        const routing = new ActiveRouting(sampleRandom, () => undefined);
        routing.adopt(createTable(1, routes), "test");
        this.budgets = new RetryBudgets(retryBudgetOptions, readNowMs);
        const shared = { names: testNames, activeRequests, log, readNowMs, readStaleMs: () => 0 };
        this.ingress = new Ingress({
            ...shared,
            upstream: new FakeDispatch(
                clock,
                () => ({ latencyMs: localLatencyMs, cut: false, refused: false }),
                request => this.upstream.handle(request),
            ),
            slots,
            isQuarantined: () => false,
            onConnectionLost: () => undefined,
            onForeignAnswer: () => undefined,
            onAnswered: () => undefined,
            readMaxBodyBytes: () => Infinity,
            createReport: (hopRequest, stats) => createLoadReport(slots, hopRequest, stats, { leaving: false, version: 1 }),
            onVersionSeen: () => undefined,
            isLeaving: () => false,
        });
        this.entry = new Entry({
            ...shared,
            readService: () => record.service,
            routing,
            directory: this.directory,
            shedding: new Shedding(readNowMs),
            retryBudgets: this.budgets,
            answerTimes: new AnswerTimes(),
            wheel,
            metrics: new RelayMetrics(() => ({ ...slots.readStats(), version: 1, upstreams: 0 })),
            computeTimeLeftMs: () => Infinity,
            sendHop: (hopRequest, handler) => this.fleet.sendHop(hopRequest, handler, this),
            sampleRandom,
        });
    }

    takeRecords(records: readonly UpstreamRecord[]): void {
        this.directory.update(records);
        this.budgets.updateNodes(records.length);
    }

    send(request: FakeCallRequest): void {
        this.entry.handle(request);
    }

    serve(hopRequest: HopRequest, handler: HopHandler): () => void {
        return this.ingress.serve(hopRequest, handler);
    }
}

/** Owns the nodes. */
export class VirtualRelayFleet {
    private readonly nodes: readonly VirtualRelayNode[];
    private readonly clock: VirtualClock;

    constructor(options: VirtualFleetOptions) {
        this.clock = options.clock;
        const places = options.services.flatMap(service =>
            service.speeds.map((speed, domain) => ({ service, speed, failureDomain: `domain-${domain}` }))
        );
        this.nodes = places.map(({ service, speed, failureDomain }, index) => {
            const { name, slots } = service;
            const host = `10.0.0.${index}`;
            const record = createRecord({ id: `i-${index}`, service: name, slots, host, failureDomain });
            return new VirtualRelayNode(record, this, { ...options, seed: options.seed * 1_000 + index * 2 }, speed);
        });
        this.publish(this.nodes);
    }

    /** Number of nodes. */
    get size(): number {
        return this.nodes.length;
    }

    /** Takes the first instances of a service out of the list of all nodes, and puts others back. */
    removeInstances(service: string, count: number): void {
        const leaving = this.nodes.filter(({ record }) => record.service === service).slice(0, count);
        this.publish(this.nodes.filter(node => !leaving.includes(node)));
    }

    /** Upstreams of a service. */
    listUpstreams(service: string): readonly VirtualRelayUpstream[] {
        return this.nodes.filter(({ record }) => record.service === service).map(({ upstream }) => upstream);
    }

    /** Sends a caller's request to the entry of a node. */
    send(index: number, request: FakeCallRequest): void {
        this.nodes[index % this.nodes.length]!.send(request);
    }

    /** Carries a request from one node to another. */
    sendHop(hopRequest: HopRequest, handler: HopHandler, from: VirtualRelayNode): ReturnType<SendHop> {
        const node = this.nodes.find(({ record }) => record.id === hopRequest.upstreamId)!;
        if (node === from) {
            return node.serve(hopRequest, handler);
        }
        let cancel: (() => void) | undefined;
        let isEnded = false;
        this.clock.schedule(hopLatencyMs, () => {
            cancel = isEnded ? undefined : node.serve(hopRequest, {
                openStream: head => handler.openStream(head),
                settle: (result, report) =>
                    this.clock.schedule(hopLatencyMs, () => {
                        if (!isEnded) {
                            isEnded = true;
                            handler.settle(result, report);
                        }
                    }),
            });
        });
        return cause => {
            if (!isEnded) {
                isEnded = true;
                this.clock.schedule(hopLatencyMs, () => cancel?.());
                handler.settle({ kind: "may-have-run", cause }, undefined);
            }
        };
    }

    private publish(nodes: readonly VirtualRelayNode[]): void {
        this.nodes.forEach(node => node.takeRecords(nodes.map(({ record }) => record)));
    }
}
