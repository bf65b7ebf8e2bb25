import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { dirname } from "node:path";
import { setTimeout as awaitDelay } from "node:timers/promises";
import { root } from "./bundle.mjs";

/** Hosts of the two nodes; the first one writes the code cache. */
const hosts = ["127.77.0.1", "127.77.0.2"];
const firstPort = 20_000 + Math.floor(Math.random() * 10_000);
const ports = {
    outbound: firstPort,
    ready: firstPort + 1,
    app: firstPort + 2,
    store: firstPort + 3,
    internal: firstPort + 4,
};
/** Enough requests for each function to be compiled, but too few for the optimizing compiler to begin. */
const requestCount = 40;
/** Longest time that the warm-up may take, in milliseconds. */
const timeoutMs = 20_000;

const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");

const listItems = () => [
    {
        key: "op/config",
        value: encode({
            version: "r1",
            routes: {
                columns: [
                    "name",
                    "host",
                    "prefix",
                    "route_type",
                    "service",
                    "max_attempts",
                    "timeout",
                    "target_latency",
                ],
                rows: [
                    ["lookup", "warm", "/lookup/", "safe", "app", 2, "2s", "500ms"],
                    ["booking", "warm", "/booking/", "unsafe", "app", 2, "2s", "500ms"],
                ],
            },
            limits: { max_header_bytes: 65_536, max_body_bytes: 1_048_576, header_timeout: "5s", idle_timeout: "5s" },
        }),
    },
    ...hosts.map(host => ({
        key: `servers/${host}`,
        value: encode({
            address: `${host}:${ports.app}`,
            info: { service: "app", zone: "warm", slots: 10 },
            status: { state: "ready", seq: 1, warmup_left: "0ms" },
        }),
    })),
];

/** Opens an HTTP server on the loopback interface; `answer` is called when a request has arrived completely. */
const openServer = async (host, port, answer) => {
    const server = createServer((incoming, response) => {
        incoming.resume();
        incoming.once("end", () => answer(incoming, response));
    });
    server.listen(port, host);
    await once(server, "listening");
    return server;
};

const answerAsStore = (incoming, response) => {
    const url = new URL(incoming.url, "http://store");
    if (url.pathname === "/api/kv-range") {
        const items = listItems().filter(({ key }) => key.startsWith(url.searchParams.get("prefix")));
        response.end(JSON.stringify({ items, current_rev: 1 }));
        return;
    }
    void awaitDelay(50).then(() => response.end(JSON.stringify({ events: [], current_rev: 1 })));
};

const answerAsUpstream = (incoming, response) => {
    response.writeHead(200, { "Request-Id": incoming.headers["request-id"] ?? "" });
    response.end("warm");
};

const createSettings = host => ({
    node: host,
    ip: host,
    zone: "warm",
    service: "app",
    app: `${host}:${ports.app}`,
    listen: { outbound: `${host}:${ports.outbound}`, ready: `${host}:${ports.ready}` },
    internal_ports: [String(ports.internal), String(ports.internal + 15)],
    platform: { address: `${hosts[0]}:${ports.store}` },
    bootstrap: "true",
});

/** Sends a request to the first node; resolves to its status, or to 0 if there is no answer. */
const sendRequest = (port, path, method, id) =>
    new Promise(resolve => {
        const headers = { Host: "warm", "Request-Id": id, "Deadline-Ms": "2000" };
        const outgoing = request({ host: hosts[0], port, path, method, headers }, response => {
            response.resume();
            response.once("end", () => resolve(response.statusCode));
        });
        outgoing.once("error", () => resolve(0));
        outgoing.end();
    });

const sendRequests = async () => {
    while (await sendRequest(ports.outbound, "/lookup/x", "GET", "r-0") !== 200) {
        await awaitDelay(100);
    }
    for (let index = 1; index <= requestCount; index += 1) {
        const isLookup = index % 2 === 0;
        await sendRequest(
            ports.outbound,
            isLookup ? "/lookup/x" : "/booking/x",
            isLookup ? "GET" : "POST",
            `r-${index}`,
        );
    }
    await sendRequest(ports.ready, "/api/readiness", "GET", "r-ready");
};

/** Returns the flags of the engine with which the deploy file starts the program. */
const readEngineFlags = () => {
    const [, command] = /^run = "node (.*?)"/mu.exec(readFileSync(`${root}deploy/system.toml`, "utf8"));
    return command.split(" ").filter(word => word.startsWith("--"));
};

/** Runs two nodes on the loopback interface, sends requests through them and lets the first one write its code cache. */
export const writeCodeCache = async programFile => {
    const folder = mkdtempSync(`${dirname(programFile)}/warm-up-`);
    const servers = await Promise.all([
        openServer(hosts[0], ports.store, answerAsStore),
        ...hosts.map(host => openServer(host, ports.app, answerAsUpstream)),
    ]);
    const nodes = hosts.map(host => {
        const settingsFile = `${folder}/${host}.json`;
        writeFileSync(settingsFile, JSON.stringify(createSettings(host)));
        const env = { PATH: process.env.PATH, POMELOVALVE_BOOT: settingsFile, POMELOVALVE_WRITE_CACHE: "1" };
        return spawn(process.execPath, [...readEngineFlags(), programFile], { env, stdio: "ignore" });
    });
    const exits = nodes.map(node => once(node, "exit"));
    try {
        await Promise.race([sendRequests(), awaitDelay(timeoutMs).then(() => Promise.reject(new Error("timeout")))]);
        nodes[0].kill("SIGUSR2");
        await exits[0];
    }
    finally {
        nodes.forEach(node => node.kill("SIGKILL"));
        await Promise.all(exits);
        servers.forEach(server => server.close().closeAllConnections());
        rmSync(folder, { recursive: true });
    }
};
