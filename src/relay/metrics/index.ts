/** Prometheus metrics of a relay node. */
import { Counter, Histogram, Registry } from "prom-client";
import { registerGauge } from "../../_lib/registerGauge";
import { msPerSecond } from "../../constants";
import { type SlotStats } from "../slotQueue";

/** Values of the gauges; read for each gauge at each scrape. */
export interface RelayStats extends SlotStats {
    /** Version of the current routing table, 0 for none. */
    readonly version: number;
    /** Number of known upstreams. */
    readonly upstreams: number;
    /** Time since the node last heard from the store or from a node that watches it, in milliseconds. */
    readonly learnedAgeMs: number;
}

const durationBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Registers and updates the metrics. Label sets are bounded: routes are configured, outcomes are fixed. */
export class RelayMetrics {
    readonly registry = new Registry();
    private readonly answers = new Counter({
        name: "pomelovalve_entry_answers_total",
        help: "Requests that got their final answer at this node's entry, by route, outcome and status.",
        labelNames: ["route", "outcome", "status"],
        registers: [this.registry],
    });
    private readonly durations = new Histogram({
        name: "pomelovalve_entry_duration_seconds",
        help: "Time from reading a request to its final answer, by outcome.",
        labelNames: ["outcome"],
        buckets: durationBucketsSeconds,
        registers: [this.registry],
    });
    private readonly retries = new Counter({
        name: "pomelovalve_repeats_total",
        help: "Requests that this node has sent to a second upstream, by called service.",
        labelNames: ["service"],
        registers: [this.registry],
    });

    private readonly learningFailures = new Counter({
        name: "pomelovalve_learning_failures_total",
        help: "Exceptions and hangs of the tasks that learn changes of the configuration and of upstreams, by task.",
        labelNames: ["task"],
        registers: [this.registry],
    });

    constructor(readStats: () => RelayStats) {
        const gauges: readonly (readonly [string, string, () => number])[] = [
            [
                "pomelovalve_in_flight_requests",
                "Requests that the local upstream is running.",
                () => readStats().inFlight,
            ],
            ["pomelovalve_queued_requests", "Requests that wait for a slot.", () => readStats().queued],
            [
                "pomelovalve_concurrency_limit",
                "Requests that the local upstream may run at once.",
                () => readStats().limit,
            ],
            [
                "pomelovalve_routing_version",
                "Version of the routing table in force, 0 for none.",
                () => readStats().version,
            ],
            ["pomelovalve_known_upstreams", "Upstreams in the list.", () => readStats().upstreams],
            [
                "pomelovalve_learned_age_seconds",
                "Time since the node last heard from the store or from a node that watches it.",
                () => readStats().learnedAgeMs / msPerSecond,
            ],
            ["pomelovalve_resident_memory_bytes", "Resident memory of the node.", () => process.memoryUsage.rss()],
        ];
        gauges.forEach(([name, help, read]) => registerGauge(this.registry, name, help, read));
    }

    /** Counts a final answer and records the time from the arrival of the request to it, in milliseconds. */
    countAnswer(route: string, outcome: string, status: number, durationMs: number): void {
        this.answers.inc({ route, outcome, status });
        this.durations.observe({ outcome }, durationMs / msPerSecond);
    }

    /** Counts a failure of a task that learns changes. */
    countLearningFailure(task: string): void {
        this.learningFailures.inc({ task });
    }

    /** Counts a further attempt at another upstream of a service: a retry after a failure, or a hedged request. */
    countRetry(service: string): void {
        this.retries.inc({ service });
    }
}
