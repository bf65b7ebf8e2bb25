/** What a node knows of the instances that it may call. */
import { callerRetentionMs } from "../../constants";
import { type InstanceCandidate } from "../../decisions/chooseInstance";
import { type Instance } from "../../types";
import { type Clock } from "../_lib/clock";

interface Evidence {
    readonly outstanding: number;
    readonly load: number;
    readonly loadAtMs: number;
    readonly leavingUntilMs: number;
    readonly suspectedUntilMs: number;
}

const noEvidence: Evidence = { outstanding: 0, load: 0, loadAtMs: 0, leavingUntilMs: 0, suspectedUntilMs: 0 };

const loadValidityMs = 500;
const leavingValidityMs = 15_000;
const suspicionMs = 1_000;

/** Owns the instance list and the direct evidence, which goes before the list for a limited time. */
export class Directory {
    private instancesByService = new Map<string, Instance[]>();
    private readonly instancesByEndpoint = new Map<string, Instance>();
    private readonly evidence = new Map<string, Evidence>();
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
        [...this.evidence.keys()]
            .filter(endpoint => !this.instancesByEndpoint.has(endpoint) && this.getEvidence(endpoint).outstanding === 0)
            .forEach(endpoint => this.evidence.delete(endpoint));
    }

    findInstance(endpoint: string): Instance | undefined {
        return this.instancesByEndpoint.get(endpoint);
    }

    /** Lists all instances. */
    listInstances(): readonly Instance[] {
        return [...this.instancesByEndpoint.values()];
    }

    /** Lists the instances of a service with the evidence on each. */
    listCandidates(service: string): readonly InstanceCandidate[] {
        const nowMs = this.clock.readMonotonicMs();
        const instances = this.instancesByService.get(service) ?? [];
        return instances.map(instance => this.describeCandidate(instance, nowMs));
    }

    /** Records that a call has gone to an instance. */
    recordSent(endpoint: string): void {
        const evidence = this.getEvidence(endpoint);
        this.evidence.set(endpoint, { ...evidence, outstanding: evidence.outstanding + 1 });
    }

    /** Records that a call to an instance has ended. */
    recordEnded(endpoint: string): void {
        const evidence = this.getEvidence(endpoint);
        this.evidence.set(endpoint, { ...evidence, outstanding: Math.max(0, evidence.outstanding - 1) });
    }

    /** Records what an instance's answer tells of it. */
    recordAnswer(endpoint: string, load: number | undefined, leaving: boolean): void {
        const nowMs = this.clock.readMonotonicMs();
        const evidence = this.getEvidence(endpoint);
        this.evidence.set(endpoint, {
            ...evidence,
            load: load ?? evidence.load,
            loadAtMs: load === undefined ? evidence.loadAtMs : nowMs,
            leavingUntilMs: leaving ? nowMs + leavingValidityMs : 0,
            suspectedUntilMs: 0,
        });
    }

    /** Records that an instance has told of its leaving. */
    recordLeaving(endpoint: string): void {
        const leavingUntilMs = this.clock.readMonotonicMs() + leavingValidityMs;
        this.evidence.set(endpoint, { ...this.getEvidence(endpoint), leavingUntilMs });
    }

    /** Records that the node of an instance has called this one; a name that is not listed is ignored. */
    recordCaller(endpoint: string): void {
        if (!this.instancesByEndpoint.has(endpoint)) {
            return;
        }
        this.callerSeenAtMs.set(endpoint, this.clock.readMonotonicMs());
    }

    /** Lists the instances whose nodes have called this one lately. */
    listCallers(): readonly Instance[] {
        const horizonMs = this.clock.readMonotonicMs() - callerRetentionMs;
        return this.listInstances().filter(({ endpoint }) =>
            (this.callerSeenAtMs.get(endpoint) ?? -Infinity) > horizonMs
        );
    }

    /** Records that an instance did not accept a connection. */
    recordUnreachable(endpoint: string): void {
        const suspectedUntilMs = this.clock.readMonotonicMs() + suspicionMs;
        this.evidence.set(endpoint, { ...this.getEvidence(endpoint), suspectedUntilMs });
    }

    private getEvidence(endpoint: string): Evidence {
        return this.evidence.get(endpoint) ?? noEvidence;
    }

    private describeCandidate(instance: Instance, nowMs: number): InstanceCandidate {
        const evidence = this.getEvidence(instance.endpoint);
        const isLoadValid = nowMs - evidence.loadAtMs < loadValidityMs;
        return {
            endpoint: instance.endpoint,
            failureDomain: instance.failureDomain,
            outstanding: evidence.outstanding,
            load: isLoadValid ? evidence.load : 0,
            leaving: instance.state === "leaving" || evidence.leavingUntilMs > nowMs,
            isOutlier: evidence.suspectedUntilMs > nowMs,
        };
    }
}
