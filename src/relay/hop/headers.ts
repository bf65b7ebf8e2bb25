/** Encodes the fields that nodes exchange in addition to an HTTP request and its answer, separated by spaces. */
import { type HopRequest, type HopResult, type LoadReport, type NotRunReason } from "../types";

/** Name of the header that carries the fields on hops over HTTP. */
export const hopHeader = "pomelovalve-hop";

/** Fields that a node sends with a request. */
export type HopRequestFields =
    & Pick<
        HopRequest,
        "route" | "callerService" | "upstreamId" | "idempotent" | "nested" | "isRetry" | "rank" | "targetLatencyMs"
    >
    & {
        /** Time until the deadline, in milliseconds. */
        readonly remainingMs: number;
        /** Version of the routing table that the sender applies, 0 if it has none. */
        readonly version: number;
    };

/** Outcome of a request, as the node of the upstream reports it. */
export type HopOutcome =
    | { readonly kind: "ran"; readonly nestedCallRefused: boolean; }
    | { readonly kind: "not-run"; readonly reason: NotRunReason; }
    | { readonly kind: "may-have-run"; };

/** Fields that a node sends with an answer. */
export interface HopAnswerFields {
    readonly outcome: HopOutcome;
    readonly report: LoadReport;
}

const requestFieldCount = 10;
const answerFieldCount = 11;
/** Age that is sent for a table of unknown age, in milliseconds; every bound on ages is lower. */
const unknownAgeMs = 1e9;
const nestedCallRefusedCode = "ran-refused-below";
const notRunPrefix = "not-run:";

/** Matches characters that can't be part of a field: all but visible ASCII, and the escape character. */
const unsafeCharacters = /[^!-$&-~]/u;

const loneSurrogates = /\p{Surrogate}/gu;

const encodeName = (name: string): string =>
    unsafeCharacters.test(name) ? encodeURIComponent(name.replaceAll(loneSurrogates, "\ufffd")) : name;

/** Decodes a name; returns undefined if its escape sequences are invalid. */
const decodeName = (text: string): string | undefined => {
    try {
        return text.includes("%") ? decodeURIComponent(text) : text;
    }
    catch {
        return undefined;
    }
};

/** Parses finite numbers; returns undefined if one of them is invalid. */
const parseNumbers = (texts: readonly string[]): readonly number[] | undefined => {
    const numbers = texts.map(text => text === "" ? NaN : Number(text));
    return numbers.every(Number.isFinite) ? numbers : undefined;
};

/** Encodes the fields of a request. */
export const encodeHopRequest = (hopRequest: HopRequestFields): string =>
    [
        Math.max(0, Math.floor(hopRequest.remainingMs)),
        encodeName(hopRequest.callerService),
        encodeName(hopRequest.upstreamId),
        hopRequest.idempotent ? "i" : "u",
        hopRequest.nested ? "n" : "d",
        hopRequest.isRetry ? "r" : "f",
        hopRequest.rank,
        hopRequest.targetLatencyMs,
        encodeName(hopRequest.route),
        hopRequest.version,
    ].join(" ");

/** Parses the fields of a request; returns undefined if they are missing or invalid. */
export const parseHopRequest = (text: string | undefined): HopRequestFields | undefined => {
    const fields = text?.split(" ") ?? [];
    if (fields.length !== requestFieldCount) {
        return undefined;
    }
    const [
        remaining,
        callerText,
        upstreamText,
        idempotency,
        origin,
        attempt,
        rankText,
        target,
        routeText,
        versionText,
    ] = fields as string[];
    const numbers = parseNumbers([remaining!, rankText!, target!, versionText!]);
    const names = [callerText!, upstreamText!, routeText!].map(decodeName);
    const [callerService, upstreamId, route] = names;
    if (!numbers || callerService === undefined || upstreamId === undefined || route === undefined) {
        return undefined;
    }
    const [remainingMs, rank, targetLatencyMs, version] = numbers as number[];
    if (remainingMs! < 0) {
        return undefined;
    }
    return {
        remainingMs: remainingMs!,
        callerService,
        upstreamId,
        idempotent: idempotency === "i",
        nested: origin === "n",
        isRetry: attempt === "r",
        rank: rank!,
        targetLatencyMs: targetLatencyMs!,
        route,
        version: version!,
    };
};

const encodeOutcome = (outcome: HopOutcome): string => {
    if (outcome.kind === "ran") {
        return outcome.nestedCallRefused ? nestedCallRefusedCode : "ran";
    }
    return outcome.kind === "not-run" ? `${notRunPrefix}${outcome.reason}` : "may-have-run";
};

const parseOutcome = (code: string): HopOutcome => {
    if (code === "ran" || code === nestedCallRefusedCode) {
        return { kind: "ran", nestedCallRefused: code === nestedCallRefusedCode };
    }
    return code.startsWith(notRunPrefix)
        ? { kind: "not-run", reason: code.slice(notRunPrefix.length) as NotRunReason }
        : { kind: "may-have-run" };
};

/** Derives the outcome to report to another node from the result of a request. */
export const deriveOutcome = (result: HopResult): HopOutcome => {
    if (result.kind === "answered") {
        return { kind: "ran", nestedCallRefused: result.nestedCallRefused };
    }
    return result.kind === "not-run" ? result : { kind: "may-have-run" };
};

/** Encodes the fields of an answer. */
export const encodeHopAnswer = ({ outcome, report }: HopAnswerFields): string =>
    [
        encodeOutcome(outcome),
        report.congestion.toFixed(2),
        report.inFlight,
        report.queued,
        report.limit,
        report.meanServiceMs.toFixed(1),
        report.leaving ? 1 : 0,
        report.directShare.toFixed(2),
        report.nestedCalls,
        report.version,
        Math.ceil(Math.min(unknownAgeMs, report.tableAgeMs)),
    ].join(" ");

/** Parses the fields of an answer; returns undefined if they are missing or invalid. */
export const parseHopAnswer = (text: string | undefined): HopAnswerFields | undefined => {
    const fields = text?.split(" ") ?? [];
    if (fields.length !== answerFieldCount) {
        return undefined;
    }
    const [outcomeCode, ...numberTexts] = fields as string[];
    const numbers = parseNumbers(numberTexts);
    if (!numbers || numbers.some(number => number < 0)) {
        return undefined;
    }
    const [
        congestion,
        inFlight,
        queued,
        limit,
        meanServiceMs,
        leaving,
        directShare,
        nestedCalls,
        version,
        tableAgeMs,
    ] = numbers as number[];
    return {
        outcome: parseOutcome(outcomeCode!),
        report: {
            congestion: congestion!,
            inFlight: inFlight!,
            queued: queued!,
            limit: limit!,
            meanServiceMs: meanServiceMs!,
            leaving: leaving === 1,
            directShare: directShare!,
            nestedCalls: nestedCalls!,
            version: version!,
            tableAgeMs: tableAgeMs! >= unknownAgeMs ? Infinity : tableAgeMs!,
        },
    };
};
