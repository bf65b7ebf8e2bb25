import {
    createServer,
    type IncomingMessage,
    request as sendRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import pino from "pino";
import { RelayNode } from "../relay/node";
import { type FleetSource, type SourceListener } from "../relay/source";
import { type HeaderNames, type RelaySettings } from "../relay/types";
import { type RoutingTable, type UpstreamRecord } from "../routing/types";
import { createUpstreamRecord } from "./createRoute";
import { findFreePorts } from "./findFreePort";

/** Header names used in tests. */
export const testHeaderNames: HeaderNames = {
    requestId: "x-request",
    deadline: "x-deadline",
    callerService: "x-origin-service",
    target: "x-target",
    notRun: "x-not-run",
    callSeparator: ".",
};

/** How an upstream of a test behaves; the default answers 200 with its own id. */
export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A source that a test writes to. */
export class FakeSource implements FleetSource {
    private listener: SourceListener | undefined;

    start(listener: SourceListener): void {
        this.listener = listener;
    }

    stop(): void {
        this.listener = undefined;
    }

    /** Publishes a table, a list of upstreams, or both. */
    publish(table: RoutingTable | undefined, upstreams: readonly UpstreamRecord[] | undefined): void {
        if (table) {
            this.listener?.onRouting(table);
        }
        if (upstreams) {
            this.listener?.onUpstreams(upstreams);
        }
    }
}

/** One instance of a test fleet: an upstream with its node. */
export interface FleetMember {
    readonly host: string;
    readonly node: RelayNode;
    readonly source: FakeSource;
    readonly record: UpstreamRecord;
    readonly settings: RelaySettings;
    /** Requests that the upstream has received. */
    readonly received: IncomingMessage[];
    /** Has the upstream die: connections break off, and new ones are refused for a time in milliseconds. */
    crash(downMs: number): void;
}

/** A fleet on loopback. */
export interface RelayFleet {
    readonly members: readonly FleetMember[];
    /** Publishes to all members. */
    publish(table: RoutingTable): void;
    stop(): Promise<void>;
}

/** Answers with the id of the request, as upstreams do. */
export const sendUpstreamAnswer = (
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    body: string,
): void => {
    response.writeHead(status, { [testHeaderNames.requestId]: String(request.headers[testHeaderNames.requestId]) });
    response.end(body);
};

/** An upstream that answers each request. */
export const sendOkAnswer: UpstreamHandler = (request, response) => sendUpstreamAnswer(request, response, 200, "whole");

/** Entry, peers, control, links and admin. */
const portsPerNode = 5;

const openServer = (server: Server, host: string): Promise<number> =>
    new Promise(resolve => {
        server.listen(0, host, () => resolve((server.address() as AddressInfo).port));
    });

const createSettings = (host: string, service: string, upstreamPort: number, port: number): RelaySettings => ({
    node: `node-${host}`,
    host,
    service,
    failureDomain: "pvl-a",
    entry: { host, port },
    peers: { host, port: port + 1 },
    admin: { host, port: port + 4 },
    upstream: { host, port: upstreamPort },
    platform: { host, port: 1 },
    readinessPath: "/ready",
    retryRatio: 0.2,
    retrySlack: 47,
    retryWindowMs: 10_000,
    stopGraceMs: 3_000,
    leaveAfterMs: 100,
    logLevel: "silent",
});

/** Starts one upstream with its node for each service named; addresses are 127.0.0.2 and following. */
export const startRelayFleet = async (
    services: readonly (readonly [service: string, behave: UpstreamHandler])[],
): Promise<RelayFleet> => {
    const [port] = await findFreePorts(portsPerNode);
    const servers: Server[] = [];
    const sockets = new Set<Socket>();
    let isStopped = false;
    const members = await Promise.all(services.map(async ([service, behave], index): Promise<FleetMember> => {
        const host = `127.0.0.${index + 2}`;
        const received: IncomingMessage[] = [];
        const server = createServer((request, response) => {
            received.push(request);
            behave(request, response);
        });
        const own = new Set<Socket>();
        server.on("connection", socket => {
            sockets.add(socket);
            own.add(socket);
        });
        servers.push(server);
        const upstreamPort = await openServer(server, host);
        const crash = (downMs: number): void => {
            server.close();
            own.forEach(socket => socket.resetAndDestroy());
            own.clear();
            setTimeout(() => isStopped || server.listen(upstreamPort, host), downMs);
        };
        const settings = createSettings(host, service, upstreamPort, port!);
        const source = new FakeSource();
        const node = new RelayNode(settings, testHeaderNames, source, pino({ level: "silent" }));
        await node.start();
        const record = createUpstreamRecord({ id: `i-${index}`, service, host, port: upstreamPort });
        return { host, node, source, record, settings, received, crash };
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

/** Waits until something has come about; a test that waits in vain fails by its time limit. */
export const awaitUntil = async (isDone: () => boolean | Promise<boolean>): Promise<void> => {
    while (!await isDone()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};

/** Answer to a test request; `status` is 0 when the connection broke off. */
export interface TestAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    readonly body: string;
}

/** A request of a test. */
export interface TestRequest {
    readonly path?: string;
    readonly method?: string;
    readonly id?: string;
    readonly deadlineMs?: number;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Sends a request to the entry of a member. */
export const sendToEntry = (member: FleetMember, order: TestRequest = {}): Promise<TestAnswer> =>
    new Promise(resolve => {
        const { host, port } = member.settings.entry;
        const request = sendRequest({
            host,
            port,
            path: order.path ?? "/lookup/1",
            method: order.method ?? "GET",
            agent: false,
            headers: {
                host: "desk.example",
                [testHeaderNames.requestId]: order.id ?? "r-1",
                [testHeaderNames.deadline]: String(order.deadlineMs ?? 2_000),
                ...order.headers,
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
        request.end(order.body);
    });
