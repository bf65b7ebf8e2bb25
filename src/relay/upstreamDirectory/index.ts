/** Directory of the upstreams that a node may send requests to, with what it has observed of them. */
import { type UpstreamCandidate } from "../../decisions/chooseUpstream";
import { type UpstreamRecord } from "../../routing/types";
import { type LoadReport } from "../types";

interface UpstreamObservation {
    report: LoadReport | undefined;
    reportedAtMs: number;
    /** Number of requests from this node that are in flight, now and at the time of the report. */
    outstanding: number;
    outstandingAtReport: number;
    outlierUntilMs: number;
    failureCount: number;
    leavingUntilMs: number;
}

/** Initial and maximum time for which an unreachable upstream counts as an outlier, in milliseconds. */
const initialOutlierMs = 200;
const maxOutlierMs = 2_000;
/** Time for which a report that a node is leaving remains valid, in milliseconds; covers its stop and a restart. */
const leavingReportTtlMs = 3_000;

const createObservation = (): UpstreamObservation => ({
    report: undefined,
    reportedAtMs: -Infinity,
    outstanding: 0,
    outstandingAtReport: 0,
    outlierUntilMs: 0,
    failureCount: 0,
    leavingUntilMs: 0,
});

/** Holds the records of upstreams and what their nodes have reported of them. */
export class UpstreamDirectory {
    private byId = new Map<string, UpstreamRecord>();
    private byService = new Map<string, UpstreamRecord[]>();
    private readonly observations = new Map<string, UpstreamObservation>();

    constructor(private readonly failureDomain: string, private readonly readNowMs: () => number) {}

    /** Replaces the records, and drops what was observed of upstreams that are gone and have no request in flight. */
    update(records: readonly UpstreamRecord[]): void {
        this.byId = new Map(records.map(record => [record.id, record]));
        this.byService = new Map();
        records.forEach(record => {
            const serviceRecords = this.byService.get(record.service) ?? [];
            serviceRecords.push(record);
            this.byService.set(record.service, serviceRecords);
        });
        [...this.observations].forEach(([id, { outstanding }]) => {
            if (outstanding === 0 && !this.byId.has(id)) {
                this.observations.delete(id);
            }
        });
    }

    find(id: string): UpstreamRecord | undefined {
        return this.byId.get(id);
    }

    /** Finds the record of the latest upstream at an address. */
    findByAddress(host: string, port: number): UpstreamRecord | undefined {
        return [...this.byId.values()]
            .filter(record => record.host === host && record.port === port)
            .sort((first, second) => second.bornAtMs - first.bornAtMs)[0];
    }

    list(): readonly UpstreamRecord[] {
        return [...this.byId.values()];
    }

    /** Lists the upstreams of a service that accept requests, without the excluded ones. */
    listCandidates(service: string, excludedIds: readonly string[]): readonly UpstreamCandidate[] {
        const nowMs = this.readNowMs();
        return (this.byService.get(service) ?? [])
            .filter(({ id, state }) => state === "ready" && !excludedIds.includes(id) && !this.isLeaving(id, nowMs))
            .map(record => this.createCandidate(record, nowMs));
    }

    /** Records that a request has been sent to an upstream. */
    recordSent(id: string): void {
        this.getObservation(id).outstanding += 1;
    }

    /** Records that a request to an upstream has a result. */
    recordEnded(id: string): void {
        const observation = this.getObservation(id);
        observation.outstanding = Math.max(0, observation.outstanding - 1);
    }

    /** Records the load report of an upstream, which ends its state as an outlier. */
    recordReport(id: string, report: LoadReport): void {
        const observation = this.getObservation(id);
        observation.report = report;
        observation.reportedAtMs = this.readNowMs();
        observation.outstandingAtReport = observation.outstanding;
        observation.failureCount = 0;
        observation.outlierUntilMs = 0;
        observation.leavingUntilMs = report.leaving ? observation.reportedAtMs + leavingReportTtlMs : 0;
    }

    /** Records that an upstream was unreachable; returns the time for which it is an outlier, in milliseconds. */
    recordFailure(id: string): number {
        const observation = this.getObservation(id);
        const outlierMs = Math.min(maxOutlierMs, initialOutlierMs * 2 ** observation.failureCount);
        const nowMs = this.readNowMs();
        if (nowMs >= observation.outlierUntilMs) {
            observation.failureCount += 1;
        }
        observation.outlierUntilMs = nowMs + outlierMs;
        return outlierMs;
    }

    /**
     * Records that another upstream has taken over the address of an upstream. It counts as an outlier for the maximum
     * time, which the list of upstreams may need to catch up.
     */
    recordMoved(id: string): void {
        this.getObservation(id).outlierUntilMs = this.readNowMs() + maxOutlierMs;
    }

    private isLeaving(id: string, nowMs: number): boolean {
        return (this.observations.get(id)?.leavingUntilMs ?? 0) > nowMs;
    }

    private getObservation(id: string): UpstreamObservation {
        const existing = this.observations.get(id);
        if (existing) {
            return existing;
        }
        const created = createObservation();
        this.observations.set(id, created);
        return created;
    }

    private createCandidate(record: UpstreamRecord, nowMs: number): UpstreamCandidate {
        const observation = this.getObservation(record.id);
        const { report, outstanding, outstandingAtReport } = observation;
        const reportedCount = report ? report.inFlight + report.queued : 0;
        return {
            id: record.id,
            isLocalDomain: record.failureDomain === this.failureDomain,
            pendingRequests: Math.max(outstanding, reportedCount + outstanding - outstandingAtReport),
            limit: report?.limit ?? record.slots,
            meanServiceMs: report?.meanServiceMs ?? 0,
            reportAgeMs: nowMs - observation.reportedAtMs,
            isOutlier: observation.outlierUntilMs > nowMs,
        };
    }
}
