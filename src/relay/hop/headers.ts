/** What nodes tell each other about a request and its answer: fields separated by spaces. */
import { type HopRequest, type HopResult, type LoadReport, type NotRunReason } from "../types";

/** Name of the header that carries them where the hop is an HTTP request. */
export const hopHeader = "pomelovalve-hop";

/** What one node tells another of a request. */
export type HopRequestFields =
    & Pick<
        HopRequest,
        "route" | "callerService" | "upstreamId" | "idempotent" | "nested" | "isRetry" | "rank" | "targetLatencyMs"
    >
    & {
        readonly remainingMs: number;
        /** Version of the routing table that the sender has in force, 0 for none. */
        readonly version: number;
    };

/** What the node of an upstream says became of a request. */
export type HopOutcome =
    | { readonly kind: "ran"; readonly nestedCallRefused: boolean; }
    | { readonly kind: "not-run"; readonly reason: NotRunReason; }
    | { readonly kind: "may-have-run"; };

/** An answer's outcome with the report on the upstream. */
export interface HopAnswerFields {
    readonly outcome: HopOutcome;
    readonly report: LoadReport;
}

const requestFieldCount = 10;
const answerFieldCount = 10;
const nestedCallRefusedWord = "ran-refused-below";
const notRunPrefix = "not-run:";

/** Encodes what goes with a request. */
export const encodeHopRequest = (hopRequest: HopRequestFields): string =>
    [
        Math.max(0, Math.floor(hopRequest.remainingMs)),
        hopRequest.callerService,
        hopRequest.upstreamId,
        hopRequest.idempotent ? "i" : "u",
        hopRequest.nested ? "n" : "d",
        hopRequest.isRetry ? "r" : "f",
        hopRequest.rank,
        hopRequest.targetLatencyMs,
        hopRequest.route,
        hopRequest.version,
    ].join(" ");

/** Parses what came with a request; undefined when another node did not send it. */
export const parseHopRequest = (text: string | undefined): HopRequestFields | undefined => {
    const fields = text?.split(" ") ?? [];
    if (fields.length !== requestFieldCount) {
        return undefined;
    }
    const [remaining, callerService, upstreamId, kind, origin, turn, rank, target, route, version] = fields as string[];
    return {
        remainingMs: Number(remaining),
        callerService: callerService!,
        upstreamId: upstreamId!,
        idempotent: kind === "i",
        nested: origin === "n",
        isRetry: turn === "r",
        rank: Number(rank),
        targetLatencyMs: Number(target),
        route: route!,
        version: Number(version),
    };
};

const describeOutcome = (outcome: HopOutcome): string => {
    if (outcome.kind === "ran") {
        return outcome.nestedCallRefused ? nestedCallRefusedWord : "ran";
    }
    return outcome.kind === "not-run" ? `${notRunPrefix}${outcome.reason}` : "may-have-run";
};

const parseOutcome = (word: string): HopOutcome => {
    if (word === "ran" || word === nestedCallRefusedWord) {
        return { kind: "ran", nestedCallRefused: word === nestedCallRefusedWord };
    }
    return word.startsWith(notRunPrefix)
        ? { kind: "not-run", reason: word.slice(notRunPrefix.length) as NotRunReason }
        : { kind: "may-have-run" };
};

/** Derives the outcome that another node is told from the result of a request. */
export const deriveOutcome = (result: HopResult): HopOutcome => {
    if (result.kind === "answered") {
        return { kind: "ran", nestedCallRefused: result.nestedCallRefused };
    }
    return result.kind === "not-run" ? result : { kind: "may-have-run" };
};

/** Encodes what goes with an answer. */
export const encodeHopAnswer = ({ outcome, report }: HopAnswerFields): string =>
    [
        describeOutcome(outcome),
        report.congestion.toFixed(2),
        report.inFlight,
        report.queued,
        report.limit,
        report.meanServiceMs.toFixed(1),
        report.leaving ? 1 : 0,
        report.directShare.toFixed(2),
        report.nestedCalls,
        report.version,
    ].join(" ");

/** Parses what came with an answer; undefined when no node of the system wrote it. */
export const parseHopAnswer = (text: string | undefined): HopAnswerFields | undefined => {
    const fields = text?.split(" ") ?? [];
    if (fields.length !== answerFieldCount) {
        return undefined;
    }
    const [word, congestion, inFlight, queued, limit, meanServiceMs, leaving, directShare, calls, version] =
        fields as string[];
    return {
        outcome: parseOutcome(word!),
        report: {
            congestion: Number(congestion),
            inFlight: Number(inFlight),
            queued: Number(queued),
            limit: Number(limit),
            meanServiceMs: Number(meanServiceMs),
            leaving: leaving === "1",
            directShare: Number(directShare),
            nestedCalls: Number(calls),
            version: Number(version),
        },
    };
};
