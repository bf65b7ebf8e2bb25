/** Relay nodes with their upstreams on loopback, for tests of the HTTP behaviour of a fleet. */
import {
    createServer,
    type IncomingMessage,
    request as sendRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import pino from "pino";
import { type FleetChanges, type TableAnswer } from "../relay/fleet/types";
import { RelayNode } from "../relay/node";
import { type FleetSource, type SourceListener } from "../relay/source";
import { type HeaderNames, type RelaySettings } from "../relay/types";
import { createListOrigin } from "../relay/upstreamListLog";
import { type RoutingTable, type UpstreamRecord } from "../routing/types";
import { createUpstreamRecord } from "./createRoute";
import { findFreePorts } from "./findFreePort";

/** Header names of relay nodes in tests. */
export const testHeaderNames: HeaderNames = {
    requestId: "x-request",
    deadline: "x-deadline",
    callerService: "x-origin-service",
    target: "x-target",
    notRun: "x-not-run",
    rateLimit: "x-rate-limit",
    upstreamLeaving: "x-leaving",
    authorization: "authorization",
    keyScheme: "token",
    organisation: "x-organisation",
    callSeparator: ".",
};

/** Handles a request as the upstream of a node. */
export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A source that passes on the routing tables and upstream records that a test publishes. */
export class FakeSource implements FleetSource {
    private listener: SourceListener | undefined;

    start(listener: SourceListener): void {
        this.listener = listener;
    }

    stop(): void {
        this.listener = undefined;
    }

    /** Age of the table that the source pretends, in milliseconds. */
    tableAgeMs = 0;

    describeTable(): TableAnswer {
        return { version: 0, tableAgeMs: undefined, table: undefined };
    }

    readTableAgeMs(): number {
        return this.tableAgeMs;
    }

    isFailing(): boolean {
        return false;
    }

    readLearnedAgeMs(): number {
        return 0;
    }

    recordTableEvidence(): void {
        // The age of the table is set by the test.
    }

    awaitChanges(): Promise<FleetChanges> {
        return Promise.resolve({ viewId: "", serial: 0, batch: undefined, table: undefined, isCurrent: false });
    }

    receivePeers(): void {
        // A fake source asks no nodes.
    }

    /** Publishes a routing table, a list of upstreams, or both; an undefined argument is skipped. */
    publish(table: RoutingTable | undefined, upstreams: readonly UpstreamRecord[] | undefined): void {
        if (table) {
            this.listener?.onRouting(table, "test");
        }
        if (upstreams) {
            this.listener?.onUpstreams(upstreams, createListOrigin("test"));
        }
    }
}

/** An instance of a test fleet, with its node and its upstream. */
export interface FleetMember {
    readonly host: string;
    readonly node: RelayNode;
    readonly source: FakeSource;
    readonly record: UpstreamRecord;
    readonly settings: RelaySettings;
    /** Requests that the upstream has received. */
    readonly receivedRequests: IncomingMessage[];
    /** Crashes the upstream: resets its connections and refuses new ones for `downMs` milliseconds. */
    crash(downMs: number): void;
}

export interface RelayFleet {
    readonly members: readonly FleetMember[];
    /** Publishes a routing table and the records of all members to all members. */
    publish(table: RoutingTable): void;
    stop(): Promise<void>;
}

/** Answers a request with a status and a body, and echoes the request id as upstreams do. */
export const sendUpstreamAnswer = (
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    body: string,
): void => {
    response.writeHead(status, { [testHeaderNames.requestId]: String(request.headers[testHeaderNames.requestId]) });
    response.end(body);
};

/** Answers a request with 200 and the body "whole". */
export const sendOkAnswer: UpstreamHandler = (request, response) => sendUpstreamAnswer(request, response, 200, "whole");

/** Number of ports of a node: entry, peers, control, links and admin. */
const portsPerNode = 5;

const openServer = (server: Server, host: string): Promise<number> =>
    new Promise(resolve => {
        server.listen(0, host, () => resolve((server.address() as AddressInfo).port));
    });

/** Creates the settings of a test node, with ports from `firstPort` upwards. */
export const createTestSettings = (
    host: string,
    service: string,
    upstreamPort: number,
    firstPort: number,
): RelaySettings => ({
    node: `node-${host}`,
    host,
    service,
    failureDomain: "pvl-a",
    entry: { host, port: firstPort },
    peers: { host, port: firstPort + 1 },
    admin: { host, port: firstPort + 4 },
    upstream: { host, port: upstreamPort },
    platform: { host, port: 1 },
    readinessPath: "/ready",
    isFirstStart: true,
    retryRatio: 0.2,
    retrySlack: 47,
    retryWindowMs: 10_000,
    quotaBounds: { windowMs: 5_000, overshoot: 0.25, slack: 20 },
    keyBounds: { maxUseAgeMs: 4_750, maxDenialAgeMs: 2_500 },
    stopGraceMs: 3_000,
    leaveAfterMs: 100,
    logLevel: "silent",
});

/** Starts an upstream and its node for each item of `services`, on the loopback addresses from 127.0.0.2 upwards. */
export const startRelayFleet = async (
    services: readonly (readonly [service: string, handleRequest: UpstreamHandler])[],
): Promise<RelayFleet> => {
    const [firstPort] = await findFreePorts(portsPerNode);
    const servers: Server[] = [];
    const sockets = new Set<Socket>();
    let isStopped = false;
    const members = await Promise.all(services.map(async ([service, handleRequest], index): Promise<FleetMember> => {
        const host = `127.0.0.${index + 2}`;
        const receivedRequests: IncomingMessage[] = [];
        const server = createServer((request, response) => {
            receivedRequests.push(request);
            handleRequest(request, response);
        });
        const memberSockets = new Set<Socket>();
        server.on("connection", socket => {
            sockets.add(socket);
            memberSockets.add(socket);
        });
        servers.push(server);
        const upstreamPort = await openServer(server, host);
        const crash = (downMs: number): void => {
            server.close();
            memberSockets.forEach(socket => socket.resetAndDestroy());
            memberSockets.clear();
            setTimeout(() => isStopped || server.listen(upstreamPort, host), downMs);
        };
        const settings = createTestSettings(host, service, upstreamPort, firstPort!);
        const source = new FakeSource();
        const node = new RelayNode(settings, testHeaderNames, source, pino({ level: "silent" }));
        await node.start();
        const record = createUpstreamRecord({ id: `i-${index}`, service, host, port: upstreamPort });
        return { host, node, source, record, settings, receivedRequests, crash };
    }));
    return {
        members,
        publish: table => members.forEach(({ source }) => source.publish(table, members.map(({ record }) => record))),
        stop: async () => {
            isStopped = true;
            sockets.forEach(socket => socket.destroy());
            servers.forEach(server => server.close());
            await Promise.all(members.map(({ node }) => node.stop()));
        },
    };
};

const pollMs = 10;

/** Polls a condition until it holds; only the timeout of the test limits the wait. */
export const awaitUntil = async (isDone: () => boolean | Promise<boolean>): Promise<void> => {
    while (!await isDone()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};

/** Answer to a test request; `status` is 0 if the connection failed before the answer was complete. */
export interface TestAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    readonly body: string;
}

/** Fields that replace those of the default test request, `GET /lookup/1` with a deadline of 2 seconds. */
export interface TestRequest {
    readonly path?: string;
    readonly method?: string;
    readonly id?: string;
    readonly deadlineMs?: number;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Formats a test request without a body as it is sent over a connection. */
export const formatRequest = (options: TestRequest = {}): string =>
    [
        `${options.method ?? "GET"} ${options.path ?? "/lookup/1"} HTTP/1.1`,
        "Host: desk.example",
        `${testHeaderNames.requestId}: ${options.id ?? "r-1"}`,
        `${testHeaderNames.deadline}: ${options.deadlineMs ?? 2_000}`,
        ...Object.entries(options.headers ?? {}).map(([name, value]) => `${name}: ${value}`),
        "\r\n",
    ].join("\r\n");

/** Sends a request to the entry of a member over a new connection; never rejects. */
export const sendToEntry = (member: FleetMember, options: TestRequest = {}): Promise<TestAnswer> =>
    new Promise(resolve => {
        const { host, port } = member.settings.entry;
        const request = sendRequest({
            host,
            port,
            path: options.path ?? "/lookup/1",
            method: options.method ?? "GET",
            agent: false,
            headers: {
                host: "desk.example",
                [testHeaderNames.requestId]: options.id ?? "r-1",
                [testHeaderNames.deadline]: String(options.deadlineMs ?? 2_000),
                ...options.headers,
            },
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            const finish = (status: number): void =>
                resolve({ status, headers: response.headers, body: Buffer.concat(chunks).toString() });
            response.once("end", () => finish(response.statusCode ?? 0));
            response.once("error", () => finish(0));
        });
        request.once("error", () => resolve({ status: 0, headers: {}, body: "" }));
        request.end(options.body);
    });
