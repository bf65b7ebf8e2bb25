/** What a node knows of the upstreams that it may send requests to. */
import { type UpstreamCandidate } from "../../decisions/chooseUpstream";
import { type UpstreamRecord } from "../../routing/types";
import { type LoadReport } from "../types";

interface Evidence {
    report: LoadReport | undefined;
    reportedAtMs: number;
    /** Requests under way from this node, now and when the report came. */
    outstanding: number;
    outstandingAtReport: number;
    suspectedUntilMs: number;
    failures: number;
    leavingUntilMs: number;
}

/** First time for which an unreachable upstream is left out, and the longest one, in milliseconds. */
const firstSuspicionMs = 200;
const longestSuspicionMs = 2_000;
/** Time for which a node's word that it is leaving holds, in milliseconds; the stop grace of a node and a restart. */
const leavingMs = 3_000;

const createEvidence = (): Evidence => ({
    report: undefined,
    reportedAtMs: -Infinity,
    outstanding: 0,
    outstandingAtReport: 0,
    suspectedUntilMs: 0,
    failures: 0,
    leavingUntilMs: 0,
});

/** Owns the records of upstreams and what their nodes' answers tell of them. */
export class UpstreamDirectory {
    private byId = new Map<string, UpstreamRecord>();
    private byService = new Map<string, UpstreamRecord[]>();
    private readonly evidence = new Map<string, Evidence>();

    constructor(private readonly failureDomain: string, private readonly readNowMs: () => number) {}

    /** Replaces the records. */
    update(records: readonly UpstreamRecord[]): void {
        this.byId = new Map(records.map(record => [record.id, record]));
        this.byService = new Map();
        records.forEach(record => {
            const list = this.byService.get(record.service) ?? [];
            list.push(record);
            this.byService.set(record.service, list);
        });
        [...this.evidence].forEach(([id, { outstanding }]) => {
            if (outstanding === 0 && !this.byId.has(id)) {
                this.evidence.delete(id);
            }
        });
    }

    find(id: string): UpstreamRecord | undefined {
        return this.byId.get(id);
    }

    /** Finds the record of the upstream at an address. */
    findAt(host: string, port: number): UpstreamRecord | undefined {
        return [...this.byId.values()]
            .filter(record => record.host === host && record.port === port)
            .sort((first, second) => second.bornAtMs - first.bornAtMs)[0];
    }

    /** Lists all records. */
    list(): readonly UpstreamRecord[] {
        return [...this.byId.values()];
    }

    /** Lists the upstreams of a service that take work, without those named. */
    listCandidates(service: string, excluded: readonly string[]): readonly UpstreamCandidate[] {
        const nowMs = this.readNowMs();
        return (this.byService.get(service) ?? [])
            .filter(({ id, state }) => state === "ready" && !excluded.includes(id) && !this.isLeaving(id, nowMs))
            .map(record => this.describeCandidate(record, nowMs));
    }

    recordSent(id: string): void {
        this.openEvidence(id).outstanding += 1;
    }

    recordEnded(id: string): void {
        const evidence = this.openEvidence(id);
        evidence.outstanding = Math.max(0, evidence.outstanding - 1);
    }

    /** Records what a node says of its upstream. */
    recordReport(id: string, report: LoadReport): void {
        const evidence = this.openEvidence(id);
        evidence.report = report;
        evidence.reportedAtMs = this.readNowMs();
        evidence.outstandingAtReport = evidence.outstanding;
        evidence.failures = 0;
        evidence.suspectedUntilMs = 0;
        evidence.leavingUntilMs = report.leaving ? evidence.reportedAtMs + leavingMs : 0;
    }

    /** Records that an upstream could not be reached; returns for how long it is left out, in milliseconds. */
    recordFailure(id: string): number {
        const evidence = this.openEvidence(id);
        const suspicionMs = Math.min(longestSuspicionMs, firstSuspicionMs * 2 ** evidence.failures);
        const nowMs = this.readNowMs();
        if (nowMs >= evidence.suspectedUntilMs) {
            evidence.failures += 1;
        }
        evidence.suspectedUntilMs = nowMs + suspicionMs;
        return suspicionMs;
    }

    /** Records that another upstream has the address of one; the list is behind and takes up to that long to follow. */
    recordMoved(id: string): void {
        this.openEvidence(id).suspectedUntilMs = this.readNowMs() + longestSuspicionMs;
    }

    private isLeaving(id: string, nowMs: number): boolean {
        return (this.evidence.get(id)?.leavingUntilMs ?? 0) > nowMs;
    }

    private openEvidence(id: string): Evidence {
        const existing = this.evidence.get(id);
        if (existing) {
            return existing;
        }
        const created = createEvidence();
        this.evidence.set(id, created);
        return created;
    }

    private describeCandidate(record: UpstreamRecord, nowMs: number): UpstreamCandidate {
        const evidence = this.openEvidence(record.id);
        const { report, outstanding, outstandingAtReport } = evidence;
        const reported = report ? report.inFlight + report.queued : 0;
        return {
            id: record.id,
            isLocalDomain: record.failureDomain === this.failureDomain,
            occupied: Math.max(outstanding, reported + outstanding - outstandingAtReport),
            limit: report?.limit ?? record.slots,
            meanServiceMs: report?.meanServiceMs ?? 0,
            reportAgeMs: nowMs - evidence.reportedAtMs,
            isOutlier: evidence.suspectedUntilMs > nowMs,
        };
    }
}
