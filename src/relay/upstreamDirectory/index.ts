/** Directory of upstreams: their records, and the load and failures that this node has observed. */
import { type UpstreamCandidate } from "../../decisions/chooseUpstream";
import { addLeavingNotice, type Incarnation, isNoticed, noLeavingNotices } from "../../decisions/leavingNotices";
import { sampleIndexes } from "../../decisions/sampleIndexes";
import { type UpstreamRecord } from "../../routing/types";
import { listUsable } from "../_lib/listUsable";
import { type LoadReport } from "../types";

interface UpstreamObservation {
    /** Last load report. It is undefined before the first one. */
    report: LoadReport | undefined;
    reportedAtMs: number;
    /** Number of requests from this node that have no result yet. */
    outstandingRequests: number;
    /** Value of `outstandingRequests` at the time of the last report. */
    outstandingRequestsAtReport: number;
    outlierUntilMs: number;
    /** Number of outlier periods since the last report. */
    outlierPeriods: number;
    leavingUntilMs: number;
    /** Moving mean of the failures at the time of the last result, 0 to 1. */
    failureRate: number;
    resultAtMs: number;
}

/** Upstreams of one service that are ready, by whether they are in the failure domain of this node. */
interface ServicePool {
    readonly local: UpstreamRecord[];
    readonly remote: UpstreamRecord[];
}

/** Numbers of upstreams that are sampled for one request; remote ones fill up when local ones are missing. */
const localSampleSize = 2;
const sampleSize = 4;
/** Weight of one result in the failure rate, and time constant of the rate's decay without results, in milliseconds. */
const failureWeight = 0.15;
const failureDecayMs = 3_000;
/** Duration of the first outlier period after a report, in milliseconds; each further period is twice as long. */
const initialOutlierMs = 200;
/** Maximum duration of an outlier period, in milliseconds. */
const maxOutlierMs = 2_000;
/** Time for which a report that a node is leaving remains valid, in milliseconds. Covers its stop and its restart. */
const leavingReportTtlMs = 3_000;

const createObservation = (): UpstreamObservation => ({
    report: undefined,
    reportedAtMs: -Infinity,
    outstandingRequests: 0,
    outstandingRequestsAtReport: 0,
    outlierUntilMs: 0,
    outlierPeriods: 0,
    leavingUntilMs: 0,
    failureRate: 0,
    resultAtMs: -Infinity,
});

/** Lists the upstreams that accept requests, with the load and the outlier state by which one is chosen. */
export class UpstreamDirectory {
    private byId = new Map<string, UpstreamRecord>();
    private pools = new Map<string, ServicePool>();
    private leavingNotices = noLeavingNotices;
    private readonly observations = new Map<string, UpstreamObservation>();

    constructor(private readonly failureDomain: string, private readonly readNowMs: () => number) {}

    /** Replaces the records; discards the observations of unlisted upstreams without requests in flight. */
    update(records: readonly UpstreamRecord[]): void {
        this.byId = new Map(records.map(record => [record.id, record]));
        this.pools = new Map();
        listUsable(records).forEach(record => this.addToPool(record));
        [...this.observations].forEach(([id, { outstandingRequests }]) => {
            if (outstandingRequests === 0 && !this.byId.has(id)) {
                this.observations.delete(id);
            }
        });
    }

    find(id: string): UpstreamRecord | undefined {
        return this.byId.get(id);
    }

    /** Finds the record of the most recently started upstream at an address. */
    findByAddress(host: string, port: number): UpstreamRecord | undefined {
        return [...this.byId.values()]
            .filter(record => record.host === host && record.port === port)
            .sort((first, second) => second.bornAtMs - first.bornAtMs)[0];
    }

    list(): readonly UpstreamRecord[] {
        return [...this.byId.values()];
    }

    /** Lists the upstreams of a service that are ready and not leaving, without the excluded ones. */
    listCandidates(service: string, excludedIds: readonly string[]): readonly UpstreamCandidate[] {
        const nowMs = this.readNowMs();
        const { local, remote } = this.pools.get(service) ?? emptyPool;
        return [...local, ...remote]
            .filter(({ id }) => !excludedIds.includes(id) && !this.isLeaving(id, nowMs))
            .map(record => this.createCandidate(record, nowMs));
    }

    /**
     * Samples a few upstreams of a service that are ready and not leaving, without the excluded ones. Lists all of them
     * if the sample has none but outliers.
     */
    sampleCandidates(
        service: string,
        excludedIds: readonly string[],
        sampleRandom: () => number,
    ): readonly UpstreamCandidate[] {
        const nowMs = this.readNowMs();
        const { local, remote } = this.pools.get(service) ?? emptyPool;
        const sample = (records: readonly UpstreamRecord[], count: number): readonly UpstreamRecord[] =>
            sampleIndexes(records.length, count, sampleRandom, index => {
                const { id } = records[index]!;
                return !excludedIds.includes(id) && !this.isLeaving(id, nowMs) && !this.isOutlier(id, nowMs);
            }).map(index => records[index]!);
        const localSample = sample(local, localSampleSize);
        const sampled = [...localSample, ...sample(remote, sampleSize - localSample.length)];
        return sampled.length === 0
            ? this.listCandidates(service, excludedIds)
            : sampled.map(record => this.createCandidate(record, nowMs));
    }

    /** Records that a request has been sent to an upstream. */
    recordSent(id: string): void {
        this.getObservation(id).outstandingRequests += 1;
    }

    /** Records that a request to an upstream has ended, with or without an answer. */
    recordEnded(id: string): void {
        const observation = this.getObservation(id);
        observation.outstandingRequests = Math.max(0, observation.outstandingRequests - 1);
    }

    /** Records whether an upstream has failed a request that reached it or its node. */
    recordOutcome(id: string, isFailure: boolean): void {
        const observation = this.getObservation(id);
        const nowMs = this.readNowMs();
        const failureRate = computeFailureRate(observation, nowMs);
        observation.failureRate = failureRate + failureWeight * ((isFailure ? 1 : 0) - failureRate);
        observation.resultAtMs = nowMs;
    }

    /** Records the load report of an upstream, which is then no longer an outlier. */
    recordReport(id: string, report: LoadReport): void {
        const observation = this.getObservation(id);
        observation.report = report;
        observation.reportedAtMs = this.readNowMs();
        observation.outstandingRequestsAtReport = observation.outstandingRequests;
        observation.outlierPeriods = 0;
        observation.outlierUntilMs = 0;
        observation.leavingUntilMs = report.leaving ? observation.reportedAtMs + leavingReportTtlMs : 0;
    }

    /** Records that an upstream has said that it is leaving. It stays so for this node, whatever lists it is in later. */
    recordLeaving(incarnation: Incarnation): void {
        this.leavingNotices = addLeavingNotice(this.leavingNotices, incarnation);
    }

    /** Records that an upstream was unreachable; returns the time for which it is an outlier, in milliseconds. */
    recordFailure(id: string): number {
        const observation = this.getObservation(id);
        const outlierMs = Math.min(maxOutlierMs, initialOutlierMs * 2 ** observation.outlierPeriods);
        const nowMs = this.readNowMs();
        if (nowMs >= observation.outlierUntilMs) {
            observation.outlierPeriods += 1;
        }
        observation.outlierUntilMs = nowMs + outlierMs;
        return outlierMs;
    }

    /**
     * Records that another upstream has taken over the address of this one. The former upstream is an outlier for the
     * maximum time, since the upstream list may take that long to reflect the change.
     */
    recordMoved(id: string): void {
        this.getObservation(id).outlierUntilMs = this.readNowMs() + maxOutlierMs;
    }

    private addToPool(record: UpstreamRecord): void {
        const pool = this.pools.get(record.service) ?? { local: [], remote: [] };
        (record.failureDomain === this.failureDomain ? pool.local : pool.remote).push(record);
        this.pools.set(record.service, pool);
    }

    private isLeaving(id: string, nowMs: number): boolean {
        const record = this.byId.get(id);
        return (this.observations.get(id)?.leavingUntilMs ?? 0) > nowMs
            || record !== undefined && isNoticed(this.leavingNotices, record);
    }

    private isOutlier(id: string, nowMs: number): boolean {
        return (this.observations.get(id)?.outlierUntilMs ?? 0) > nowMs;
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
        const { report, outstandingRequests, outstandingRequestsAtReport } = observation;
        const reportedCount = report ? report.inFlight + report.queued : 0;
        return {
            id: record.id,
            isLocalDomain: record.failureDomain === this.failureDomain,
            pendingRequests: Math.max(
                outstandingRequests,
                reportedCount + outstandingRequests - outstandingRequestsAtReport,
            ),
            limit: report?.limit ?? record.slots,
            meanServiceMs: report?.meanServiceMs ?? 0,
            reportAgeMs: nowMs - observation.reportedAtMs,
            failureRate: computeFailureRate(observation, nowMs),
            isOutlier: observation.outlierUntilMs > nowMs,
        };
    }
}

const emptyPool: ServicePool = { local: [], remote: [] };

/** Computes the failure rate of an upstream, which decays while the upstream gets no requests. */
const computeFailureRate = ({ failureRate, resultAtMs }: UpstreamObservation, nowMs: number): number =>
    failureRate === 0 ? 0 : failureRate * Math.exp((resultAtMs - nowMs) / failureDecayMs);
