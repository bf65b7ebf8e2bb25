/** Known state of the instances that a node may call. */
import { callerRetentionMs } from "../../constants";
import { type InstanceCandidate } from "../../decisions/chooseInstance";
import { type Instance } from "../../types";
import { type Clock } from "../_lib/clock";

/** What a node has observed of an instance in its own calls. */
interface Observations {
    readonly outstanding: number;
    readonly load: number;
    readonly loadAtMs: number;
    readonly leavingUntilMs: number;
    readonly outlierUntilMs: number;
}

const noObservations: Observations = { outstanding: 0, load: 0, loadAtMs: 0, leavingUntilMs: 0, outlierUntilMs: 0 };

/** Time for which a reported load is used. */
const loadValidityMs = 500;
/** Time for which a report of leaving overrides the instance list. */
const leavingValidityMs = 15_000;
/** Time for which an instance is an outlier after a connection to it was refused or lost. */
const outlierValidityMs = 1_000;

/** Instance list and the node's own observations, which override the list for a limited time. */
export class Directory {
    private instancesByService = new Map<string, Instance[]>();
    private readonly instancesByEndpoint = new Map<string, Instance>();
    private readonly observations = new Map<string, Observations>();
    private readonly callerSeenAtMs = new Map<string, number>();

    constructor(private readonly clock: Clock) {}

    /** Replaces the instance list. */
    updateInstances(instances: readonly Instance[]): void {
        this.instancesByService = new Map();
        this.instancesByEndpoint.clear();
        instances.forEach(instance => {
            const list = this.instancesByService.get(instance.service) ?? [];
            list.push(instance);
            this.instancesByService.set(instance.service, list);
            this.instancesByEndpoint.set(instance.endpoint, instance);
        });
        [...this.callerSeenAtMs.keys()]
            .filter(endpoint => !this.instancesByEndpoint.has(endpoint))
            .forEach(endpoint => this.callerSeenAtMs.delete(endpoint));
        [...this.observations.keys()]
            .filter(endpoint =>
                !this.instancesByEndpoint.has(endpoint) && this.getObservations(endpoint).outstanding === 0
            )
            .forEach(endpoint => this.observations.delete(endpoint));
    }

    findInstance(endpoint: string): Instance | undefined {
        return this.instancesByEndpoint.get(endpoint);
    }

    /** Lists all instances. */
    listInstances(): readonly Instance[] {
        return [...this.instancesByEndpoint.values()];
    }

    /** Lists the instances of a service with the current observations of each. */
    listCandidates(service: string): readonly InstanceCandidate[] {
        const nowMs = this.clock.readMonotonicMs();
        const instances = this.instancesByService.get(service) ?? [];
        return instances.map(instance => this.describeCandidate(instance, nowMs));
    }

    /** Records that a call was sent to an instance. */
    recordSent(endpoint: string): void {
        const observations = this.getObservations(endpoint);
        this.observations.set(endpoint, { ...observations, outstanding: observations.outstanding + 1 });
    }

    /** Records that a call to an instance has ended. */
    recordEnded(endpoint: string): void {
        const observations = this.getObservations(endpoint);
        this.observations.set(endpoint, { ...observations, outstanding: Math.max(0, observations.outstanding - 1) });
    }

    /** Records the load and the state that an instance reports with its answer. */
    recordAnswer(endpoint: string, load: number | undefined, leaving: boolean): void {
        const nowMs = this.clock.readMonotonicMs();
        const observations = this.getObservations(endpoint);
        this.observations.set(endpoint, {
            ...observations,
            load: load ?? observations.load,
            loadAtMs: load === undefined ? observations.loadAtMs : nowMs,
            leavingUntilMs: leaving ? nowMs + leavingValidityMs : 0,
            outlierUntilMs: 0,
        });
    }

    /** Records that an instance has reported that it is leaving. */
    recordLeaving(endpoint: string): void {
        const leavingUntilMs = this.clock.readMonotonicMs() + leavingValidityMs;
        this.observations.set(endpoint, { ...this.getObservations(endpoint), leavingUntilMs });
    }

    /** Records that the node of an instance has called this one; ignores endpoints that are not in the list. */
    recordCaller(endpoint: string): void {
        if (!this.instancesByEndpoint.has(endpoint)) {
            return;
        }
        this.callerSeenAtMs.set(endpoint, this.clock.readMonotonicMs());
    }

    /** Lists the instances whose nodes have called this one recently. */
    listCallers(): readonly Instance[] {
        const horizonMs = this.clock.readMonotonicMs() - callerRetentionMs;
        return this.listInstances().filter(({ endpoint }) =>
            (this.callerSeenAtMs.get(endpoint) ?? -Infinity) > horizonMs
        );
    }

    /** Records that a connection to an instance was refused or lost. */
    recordUnreachable(endpoint: string): void {
        const outlierUntilMs = this.clock.readMonotonicMs() + outlierValidityMs;
        this.observations.set(endpoint, { ...this.getObservations(endpoint), outlierUntilMs });
    }

    private getObservations(endpoint: string): Observations {
        return this.observations.get(endpoint) ?? noObservations;
    }

    private describeCandidate(instance: Instance, nowMs: number): InstanceCandidate {
        const observations = this.getObservations(instance.endpoint);
        const isLoadValid = nowMs - observations.loadAtMs < loadValidityMs;
        return {
            endpoint: instance.endpoint,
            failureDomain: instance.failureDomain,
            outstandingCalls: observations.outstanding,
            load: isLoadValid ? observations.load : 0,
            leaving: instance.state === "leaving" || observations.leavingUntilMs > nowMs,
            isOutlier: observations.outlierUntilMs > nowMs,
        };
    }
}
