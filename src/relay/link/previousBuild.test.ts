/**
 * Nodes of the build before run beside those of this one while machines are replaced. The golden file was written by this
 * test in a work tree of commit 1f306d1, with POMELOVALVE_UPDATE_GOLDEN=1.
 */
import { readFileSync } from "node:fs";
import { compareGolden } from "../../testing/compareGolden";
import { createReport } from "../../testing/createReport";
import { encodeHopAnswer, encodeHopRequest, type HopOutcome, parseHopAnswer, parseHopRequest } from "../hop/headers";
import { emptyTokenQuery, type TokenAnswer } from "../organisations/tokenMessages";
import { encodeFrame, type Frame, frameKinds, FrameReader } from "./frames";
import { parseAnswerHead, parseRequestMessage } from "./parseMessages";
import { parseTokenAnswer, parseTokenQuery } from "./parseTokens";

const goldenFile = `${__dirname}/messages-1f306d1.golden.txt`;

const requestFields = {
    route: "slot confirm",
    callerService: "gate",
    upstreamId: "i-7f3a91c2",
    idempotent: false,
    nested: true,
    isRetry: true,
    rank: 2,
    targetLatencyMs: 500,
    remainingMs: 900,
    version: 12,
};
const report = createReport({ congestion: 0.25, inFlight: 3, queued: 1, leaving: true, nestedCalls: 4, version: 12 });
const outcomes: readonly HopOutcome[] = [
    { kind: "ran", nestedCallRefused: false },
    { kind: "ran", nestedCallRefused: true },
    { kind: "may-have-run" },
    ...(["full", "expired", "leaving", "down", "unreachable", "rejected", "moved", "quarantined"] as const).map(
        reason => ({ kind: "not-run", reason }) as const,
    ),
];
const rawHeaders: readonly string[] = ["Host", "berths.example", "X-Name", "\u00e9"];
const body = Buffer.from("body");
const tokenQuery = { ...emptyTokenQuery, ticketMs: 900, incarnation: "n-1", serial: 3, wants: [["org-1", 2]] };
const tokenAnswer: TokenAnswer = {
    ticketMs: 900,
    incarnation: "n-2",
    isReturned: false,
    grants: [[2, 0], [0, 150]],
};

/** One message of each kind and form that nodes exchange. */
const messages: readonly (readonly [name: string, frame: Frame])[] = [
    ["request", [frameKinds.request, 1, encodeHopRequest(requestFields), "r-1", "POST", "/x?y", rawHeaders, body]],
    ["request without body", [frameKinds.request, 2, encodeHopRequest(requestFields), "", "GET", "/", [], undefined]],
    ["cancel", [frameKinds.cancel, 2]],
    ...outcomes.map((outcome, index): readonly [string, Frame] => [
        `answer ${index}`,
        [frameKinds.answer, 3, encodeHopAnswer({ outcome, report }), 200, rawHeaders, body],
    ]),
    ["answer without head", [frameKinds.answer, 4, encodeHopAnswer({ outcome: outcomes[2]!, report })]],
    ["stream start", [frameKinds.streamStart, 5, encodeHopAnswer({ outcome: outcomes[0]!, report }), 200, rawHeaders]],
    ["chunk", [frameKinds.chunk, 5, body]],
    ["stream end", [frameKinds.streamEnd, 5]],
    ["stream abort", [frameKinds.streamAbort, 5]],
    ["pause", [frameKinds.pause, 5]],
    ["resume", [frameKinds.resume, 5]],
    ["ping", [frameKinds.ping, 0]],
    ["pong", [frameKinds.pong, 0]],
    ["token query", [frameKinds.tokenQuery, 6, tokenQuery]],
    ["token answer", [frameKinds.tokenAnswer, 6, tokenAnswer]],
];

/** Reads the frame that the build before has written for a message. */
const readGoldenFrame = (name: string): Frame => {
    const line = readFileSync(goldenFile, "utf8").split("\n").find(text => text.startsWith(`${name}: `));
    return new FrameReader().read(Buffer.from(line!.slice(name.length + 2), "hex"))![0]!;
};

describe("messages between this build and the one before", () => {
    // Guards against calls that break while nodes of both builds run: the build before reads only what it has written itself.
    it("are written byte for byte as before", () => {
        const lines = messages.map(([name, frame]) => `${name}: ${encodeFrame(frame).toString("hex")}`);
        compareGolden(goldenFile, `${lines.join("\n")}\n`);
    });

    it.each(messages)("are read as they were written: %s", (name, frame) => {
        expect(JSON.stringify(readGoldenFrame(name))).toBe(JSON.stringify(frame));
    });

    it("have fields that this build accepts", () => {
        const [, , requestText, ...message] = readGoldenFrame("request");
        expect(parseHopRequest(requestText as string)).toEqual(requestFields);
        expect(parseRequestMessage(message)).toMatchObject({ requestId: "r-1", method: "POST", path: "/x?y" });
        outcomes.forEach((outcome, index) => {
            const [, , answerText, status, headers] = readGoldenFrame(`answer ${index}`);
            expect(parseHopAnswer(answerText as string)).toEqual({ outcome, report });
            expect(parseAnswerHead(status, headers)).toEqual({ status: 200, rawHeaders });
        });
        expect(parseTokenQuery(readGoldenFrame("token query")[2])).toBeDefined();
        expect(parseTokenAnswer(readGoldenFrame("token answer")[2])).toBeDefined();
    });
});
