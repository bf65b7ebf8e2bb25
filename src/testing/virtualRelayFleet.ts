/** Relay nodes on a virtual clock. Production code makes all decisions; the network and the upstreams are fakes. */
import pino from "pino";
import { createRandom } from "../_lib/createRandom";
import { relayTimerTickMs } from "../constants";
import { AnswerTimes } from "../relay/_lib/answerTimes";
import { createLoadReport } from "../relay/_lib/createLoadReport";
import { RetryBudgets } from "../relay/_lib/retryBudgets";
import { ActiveRequests } from "../relay/activeRequests";
import { Entry, type SendHop } from "../relay/entry";
import { Ingress } from "../relay/ingress";
import { LocalUpstream } from "../relay/localUpstream";
import { EventLog } from "../relay/log";
import { RelayMetrics } from "../relay/metrics";
import { ActiveRouting } from "../relay/routing";
import { Shedding } from "../relay/shedding";
import { SlotQueue } from "../relay/slotQueue";
import { type HopHandler, type HopRequest } from "../relay/types";
import { UpstreamDirectory } from "../relay/upstreamDirectory";
import { type Route, type UpstreamRecord } from "../routing/types";
import { TimerWheel } from "../tasks/_lib/timerWheel";
import { createOrganisations } from "./createOrganisations";
import { createRoutingTable, createUpstreamRecord } from "./createRoute";
import { type FakeCallRequest, FakeDispatch } from "./fakeExchange";
import { testHeaderNames } from "./startRelayFleet";
import { type VirtualClock } from "./virtualClock";
import { type RouteWork, VirtualRelayUpstream } from "./virtualRelayUpstream";

/** A service with one instance for each work factor. Its instances are in different failure domains. */
export interface VirtualService {
    readonly name: string;
    readonly slots: number;
    /** Factors that multiply the duration of work, one for each instance. */
    readonly workFactors: readonly number[];
}

export interface VirtualRelayFleetOptions {
    readonly clock: VirtualClock;
    readonly seed: number;
    readonly services: readonly VirtualService[];
    readonly routes: readonly Route[];
    /** Work and nested calls of a request, by the name of its route. */
    readonly work: Readonly<Record<string, RouteWork>>;
}

const hopLatencyMs = 1;
const localLatencyMs = 0.1;
/** The retry budget of deployed nodes. */
const retryBudgetOptions = { ratio: 0.2, slack: 47, windowMs: 10_000 };

/** The request path of a relay node, with a fake upstream. */
class VirtualRelayNode {
    readonly upstream: VirtualRelayUpstream;
    private readonly entry: Entry;
    private readonly ingress: Ingress;
    private readonly directory: UpstreamDirectory;
    private readonly budgets: RetryBudgets;

    constructor(
        readonly record: UpstreamRecord,
        private readonly fleet: VirtualRelayFleet,
        { clock, seed, routes, work }: VirtualRelayFleetOptions,
        baseWorkFactor: number,
    ) {
        const readNowMs = clock.readMonotonicMs;
        const sampleRandom = createRandom(seed);
        const wheel = new TimerWheel(clock, relayTimerTickMs);
        const log = new EventLog(pino({ level: "silent" }), readNowMs);
        const activeRequests = new ActiveRequests(testHeaderNames.callSeparator);
        this.upstream = new VirtualRelayUpstream(clock, {
            slots: record.slots,
            baseWorkFactor,
            sampleRandom: createRandom(seed + 1),
            work,
            sendNestedRequest: request => clock.schedule(localLatencyMs, () => this.send(request)),
        });
        const slotQueue = new SlotQueue(wheel, readNowMs);
        const localUpstream = new LocalUpstream({ headerNames: testHeaderNames, slots: slotQueue, log, readNowMs });
        localUpstream.update(record);
        this.directory = new UpstreamDirectory(record.failureDomain, readNowMs);
        const routing = new ActiveRouting(sampleRandom, () => undefined);
        routing.adopt(createRoutingTable(1, routes), "test");
        this.budgets = new RetryBudgets(retryBudgetOptions, readNowMs);
        const sharedDependencies = {
            headerNames: testHeaderNames,
            activeRequests,
            log,
            readNowMs,
            readStaleMs: () => 0,
        };
        this.ingress = new Ingress({
            ...sharedDependencies,
            upstream: new FakeDispatch(
                clock,
                () => ({ latencyMs: localLatencyMs, isPartitioned: false, refusesConnections: false }),
                request => this.upstream.handle(request),
            ),
            slots: slotQueue,
            wheel,
            isQuarantined: () => false,
            onConnectionLost: () => undefined,
            onAnswerHead: rawHeaders => localUpstream.observeAnswer(rawHeaders),
            onForeignAnswer: () => undefined,
            onAnswered: () => undefined,
            readMaxBodyBytes: () => Infinity,
            createReport: (hopRequest, stats) =>
                createLoadReport(slotQueue, hopRequest, stats, { leaving: false, version: 1, tableAgeMs: 0 }),
            onVersionSeen: () => undefined,
            isLeaving: () => localUpstream.leaving.isToleranceOver(),
            readLeavingMs: () => localUpstream.leaving.readLeavingMs(),
        });
        this.entry = new Entry({
            ...sharedDependencies,
            readService: () => record.service,
            routing,
            organisations: createOrganisations(clock),
            directory: this.directory,
            shedding: new Shedding(readNowMs),
            retryBudgets: this.budgets,
            answerTimes: new AnswerTimes(),
            wheel,
            metrics: new RelayMetrics(() => ({ ...slotQueue.readStats(), version: 1, upstreams: 0, learnedAgeMs: 0 })),
            computeTimeLeftMs: () => Infinity,
            sendHop: (hopRequest, handler) => this.fleet.sendHop(hopRequest, handler, this),
            sampleRandom,
        });
    }

    updateUpstreams(records: readonly UpstreamRecord[]): void {
        this.directory.update(records);
        this.budgets.updateNodeCount(records.length);
    }

    send(request: FakeCallRequest): void {
        this.entry.handle(request);
    }

    serve(hopRequest: HopRequest, handler: HopHandler): () => void {
        return this.ingress.serve(hopRequest, handler);
    }
}

/** Creates a node with its upstream for each instance, and delivers requests between the nodes. */
export class VirtualRelayFleet {
    private readonly nodes: readonly VirtualRelayNode[];
    private readonly clock: VirtualClock;

    constructor(options: VirtualRelayFleetOptions) {
        this.clock = options.clock;
        const instances = options.services.flatMap(service =>
            service.workFactors.map((baseWorkFactor, domainIndex) => ({
                service,
                baseWorkFactor,
                failureDomain: `domain-${domainIndex}`,
            }))
        );
        this.nodes = instances.map(({ service, baseWorkFactor, failureDomain }, index) => {
            const { name, slots } = service;
            const host = `10.0.0.${index}`;
            const record = createUpstreamRecord({ id: `i-${index}`, service: name, slots, host, failureDomain });
            return new VirtualRelayNode(
                record,
                this,
                { ...options, seed: options.seed * 1_000 + index * 2 },
                baseWorkFactor,
            );
        });
        this.publish(this.nodes);
    }

    get nodeCount(): number {
        return this.nodes.length;
    }

    /** Publishes a list without the first `count` instances of a service. A count of 0 publishes the full list. */
    removeInstances(service: string, count: number): void {
        const removedNodes = this.nodes.filter(({ record }) => record.service === service).slice(0, count);
        this.publish(this.nodes.filter(node => !removedNodes.includes(node)));
    }

    listUpstreams(service: string): readonly VirtualRelayUpstream[] {
        return this.nodes.filter(({ record }) => record.service === service).map(({ upstream }) => upstream);
    }

    /** Sends a direct request to the entry of a node. An index beyond the last node wraps around. */
    send(index: number, request: FakeCallRequest): void {
        this.nodes[index % this.nodes.length]!.send(request);
    }

    /** Sends a request to a node, without a delay from a node to itself. Returns a function that cancels the request. */
    sendHop(hopRequest: HopRequest, handler: HopHandler, sender: VirtualRelayNode): ReturnType<SendHop> {
        const node = this.nodes.find(({ record }) => record.id === hopRequest.upstreamId)!;
        if (node === sender) {
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
        this.nodes.forEach(node => node.updateUpstreams(nodes.map(({ record }) => record)));
    }
}
