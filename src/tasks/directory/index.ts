/** What a node knows about instances: the platform's instance list, and its own observations. */
import { callerRetentionMs } from "../../constants";
import { type InstanceCandidate } from "../../decisions/chooseInstance";
import { type Instance } from "../../types";
import { type Clock } from "../_lib/clock";

/** What a node has learned about an instance from its own calls and from notices. */
interface Observations {
    /** Calls from this node that the instance has not answered yet. */
    readonly outstanding: number;
    /** Load in the latest answer that stated one, 0 to 1. */
    readonly load: number;
    readonly loadAtMs: number;
    readonly leavingUntilMs: number;
    readonly outlierUntilMs: number;
}

const noObservations: Observations = { outstanding: 0, load: 0, loadAtMs: 0, leavingUntilMs: 0, outlierUntilMs: 0 };

/** A reported load that is older than this counts as 0. */
const loadValidityMs = 500;
/** Time for which an instance counts as leaving after it has reported this, even if the list shows it as live. */
const leavingValidityMs = 15_000;
/** Time for which an instance is an outlier after a connection to it has failed; its next answer ends this early. */
const outlierValidityMs = 1_000;

/** Combines the instance list with the node's own observations, which are more recent but expire. */
export class Directory {
    private instancesByService = new Map<string, Instance[]>();
    private readonly instancesByEndpoint = new Map<string, Instance>();
    private readonly observations = new Map<string, Observations>();
    /** Monotonic time of the last call from the node of each endpoint, in milliseconds. */
    private readonly lastCallAtMs = new Map<string, number>();

    constructor(private readonly clock: Clock) {}

    /** Replaces the instance list, and removes observations of instances that it doesn't contain any more. */
    updateInstances(instances: readonly Instance[]): void {
        this.instancesByService = new Map();
        this.instancesByEndpoint.clear();
        instances.forEach(instance => {
            const list = this.instancesByService.get(instance.service) ?? [];
            list.push(instance);
            this.instancesByService.set(instance.service, list);
            this.instancesByEndpoint.set(instance.endpoint, instance);
        });
        [...this.lastCallAtMs.keys()]
            .filter(endpoint => !this.instancesByEndpoint.has(endpoint))
            .forEach(endpoint => this.lastCallAtMs.delete(endpoint));
        [...this.observations.keys()]
            .filter(endpoint =>
                !this.instancesByEndpoint.has(endpoint) && this.getObservations(endpoint).outstanding === 0
            )
            .forEach(endpoint => this.observations.delete(endpoint));
    }

    findInstance(endpoint: string): Instance | undefined {
        return this.instancesByEndpoint.get(endpoint);
    }

    /** Lists the instances of all services, including this node's own instance. */
    listInstances(): readonly Instance[] {
        return [...this.instancesByEndpoint.values()];
    }

    /** Lists the instances of a service, each with the observations that have not expired. */
    listCandidates(service: string): readonly InstanceCandidate[] {
        const nowMs = this.clock.readMonotonicMs();
        const instances = this.instancesByService.get(service) ?? [];
        return instances.map(instance => this.describeCandidate(instance, nowMs));
    }

    /** Records that a call is being sent to an instance; `recordEnded` has to follow. */
    recordSent(endpoint: string): void {
        const observations = this.getObservations(endpoint);
        this.observations.set(endpoint, { ...observations, outstanding: observations.outstanding + 1 });
    }

    /** Records that a call to an instance has been answered or has failed. */
    recordEnded(endpoint: string): void {
        const observations = this.getObservations(endpoint);
        this.observations.set(endpoint, { ...observations, outstanding: Math.max(0, observations.outstanding - 1) });
    }

    /** Records the headers of an answer from an instance: its load, if stated, and whether it is leaving. */
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

    /** Records that an instance has sent a notice that it is leaving. */
    recordLeaving(endpoint: string): void {
        const leavingUntilMs = this.clock.readMonotonicMs() + leavingValidityMs;
        this.observations.set(endpoint, { ...this.getObservations(endpoint), leavingUntilMs });
    }

    /** Records that the node of an endpoint has called this one; ignores endpoints missing from the instance list. */
    recordCaller(endpoint: string): void {
        if (!this.instancesByEndpoint.has(endpoint)) {
            return;
        }
        this.lastCallAtMs.set(endpoint, this.clock.readMonotonicMs());
    }

    /** Lists the instances whose nodes have called this one within `callerRetentionMs`. */
    listCallers(): readonly Instance[] {
        const recentSinceMs = this.clock.readMonotonicMs() - callerRetentionMs;
        return this.listInstances().filter(({ endpoint }) =>
            (this.lastCallAtMs.get(endpoint) ?? -Infinity) > recentSinceMs
        );
    }

    /** Records that a connection to an instance could not be opened or was lost. */
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
