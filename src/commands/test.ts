import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { createPolicy, createServicePolicy } from "../testing/createPolicy";
import { TestGraph } from "../testing/startTestGraph";
import { createProgram } from "./createProgram";
import { type CommandResult } from "./types";

/** Runs the program with arguments and returns its result. */
const runCommand = async (...args: readonly string[]): Promise<CommandResult> => {
    let reported: CommandResult | undefined;
    const program = createProgram(result => {
        reported = result;
    });
    program.parse(["node", "pomelovalve", ...args], { run: false });
    await program.runMatchedCommand();
    return reported!;
};

describe("commands on files", () => {
    let folder: string;

    beforeEach(() => {
        folder = mkdtempSync(`${tmpdir()}/pomelovalve-`);
    });

    afterEach(() => rmSync(folder, { recursive: true }));

    const writeFile = (name: string, value: unknown): string => {
        writeFileSync(`${folder}/${name}`, typeof value === "string" ? value : JSON.stringify(value));
        return `${folder}/${name}`;
    };

    const metadataArgs = ["--author", "aida", "--reason", "because", "--time", "2026-01-01T00:00:00.000Z"];

    it("prints the log lines of a request and its nested calls from several logs, in time order", async () => {
        const first = writeFile(
            "first.log",
            [
                "level=info time=2026-01-01T00:00:00.300Z node=a request=r1 reason=overloaded event=request-refused",
                "level=info time=2026-01-01T00:00:00.100Z node=a request=r2 event=request-refused",
                "level=info time=2026-01-01T00:00:00.000Z node=a event=node-started",
            ].join("\n"),
        );
        const second = writeFile(
            "second.log",
            "  1.2 b level=info time=2026-01-01T00:00:00.200Z node=b request=r1.c1 reason=full event=hop-failed\n",
        );
        const explained = await runCommand("explain", "r1", first, second);
        expect(explained.output.split("\n").map(line => /request=(\S+)/u.exec(line)?.[1])).toEqual([
            "r1.c1",
            "r1",
            undefined,
        ]);
        expect((await runCommand("explain", "r9", first)).code).toBe(2);
        expect((await runCommand("explain", "r9", `${folder}/none.log`)).errors).toContain("can't be read");
    });

    it("creates, patches, lists, shows, compacts and checks a policy log", async () => {
        const policyFile = writeFile("policy.json", createPolicy());
        const patchFile = writeFile("patch.json", [{ op: "replace", path: "/retryLimit", value: 1 }]);
        const logFile = `${folder}/log.json`;
        expect((await runCommand("policy", "create", policyFile, "--log", logFile, ...metadataArgs)).code).toBe(0);
        const patchArgs = ["policy", "patch", logFile, "--against", "1", "--patch", patchFile, ...metadataArgs];
        expect((await runCommand(...patchArgs)).output).toMatch(/version 2 [0-9a-f]{12}/u);
        const repeated = await runCommand(...patchArgs);
        expect([repeated.code, repeated.errors]).toEqual([
            1,
            `${patchFile}: $: the patch is against version 1, but version 2 is current\n`,
        ]);
        const listed = await runCommand("policy", "log", logFile);
        expect(listed.output.split("\n").map(line => line.split(/\s+/u)[0])).toEqual(["VERSION", "1", "2", ""]);
        const shown = await runCommand("policy", "show", logFile, "--version", "2");
        expect(JSON.parse(shown.output)).toMatchObject({ version: 2, policy: { retryLimit: 1 } });
        expect((await runCommand("policy", "compact", logFile, "--keep", "0")).output).toContain(
            "snapshot of version 2",
        );
        expect(JSON.parse((await runCommand("policy", "check", logFile, "--json")).output)).toEqual({
            ok: true,
            version: 2,
        });
    });

    it("leaves the log file unchanged if the patch is refused", async () => {
        const policyFile = writeFile("policy.json", createPolicy());
        const logFile = `${folder}/log.json`;
        await runCommand("policy", "create", policyFile, "--log", logFile, ...metadataArgs);
        const before = readFileSync(logFile, "utf8");
        const patchFile = writeFile("patch.json", [{ op: "replace", path: "/retryLimit", value: "many" }]);
        const refused = await runCommand(
            "policy",
            "patch",
            logFile,
            "--against",
            "1",
            "--patch",
            patchFile,
            ...metadataArgs,
        );
        expect(refused.code).toBe(1);
        expect(refused.errors).toContain("$.retryLimit");
        expect(readFileSync(logFile, "utf8")).toBe(before);
    });

    it("does not overwrite an existing log file", async () => {
        const policyFile = writeFile("policy.json", createPolicy());
        const logFile = writeFile("log.json", "kept");
        expect((await runCommand("policy", "create", policyFile, "--log", logFile, ...metadataArgs)).code).toBe(1);
        expect(readFileSync(logFile, "utf8")).toBe("kept");
    });

    it.each([
        [["policy", "create", "p.json", "--log", "l.json"], "--author and --reason"],
        [["policy", "frobnicate", "p.json"], "unknown action"],
        [["policy", "patch", "l.json"], "--patch FILE"],
        [["settings", "schema", "nothing"], "unknown document"],
        [["status"], "--platform"],
        [["node"], "--settings"],
    ])("answers %j with a usage error", async (args, text) => {
        const result = await runCommand(...args);
        expect(result.code).toBe(2);
        expect(result.errors).toContain(text);
    });

    it("prints JSON Schemas of settings, policy and policy log", async () => {
        const results = await Promise.all(
            ["settings", "policy", "policy-log"].map(kind => runCommand("settings", "schema", kind)),
        );
        results.forEach(({ output }) => expect(JSON.parse(output)).toMatchObject({ type: "object" }));
    });

    it("prints file, path, expected and found value for a settings fault", async () => {
        const file = writeFile("node.json", { endpoint: 7 });
        const result = await runCommand("settings", "check", file);
        expect(result.code).toBe(1);
        expect(result.errors).toContain(
            `${file}: $.endpoint: Invalid input: expected string, received number; found 7`,
        );
    });

    it("accepts the policies of the examples", async () => {
        const results = await Promise.all(
            ["ertis", "cai"].map(name =>
                runCommand(
                    "policy",
                    "create",
                    `${__dirname}/../../examples/${name}/policy.json`,
                    "--log",
                    `${folder}/${name}`,
                    ...metadataArgs,
                )
            ),
        );
        expect(results.map(result => result.code)).toEqual([0, 0]);
    });
});

describe("commands on nodes", () => {
    let graph: TestGraph;

    beforeAll(async () => {
        graph = await new TestGraph({
            policy: createPolicy({ services: { desk: createServicePolicy() } }),
            upstreams: { desk: () => (incoming, response) => response.end() },
        }).start();
    });

    afterAll(() => graph.stop());

    const getPlatform = (): string => `127.0.0.1:${graph.platformAddress.port}`;

    it("shows the status of all nodes in the platform's instance list", async () => {
        const { output } = await runCommand("status", "--platform", getPlatform());
        const rows = output.split("\n").map(line => line.split(/\s+/u).slice(0, 4));
        expect(rows).toEqual([
            ["DOMAIN", "ENDPOINT", "PHASE", "VERSION"],
            ["zone-a", "desk-a", "serving", "1"],
            ["zone-b", "desk-b", "serving", "1"],
            [""],
        ]);
    });

    it("lists a node that does not answer", async () => {
        const control = graph.getNode("desk-a").control.slice("http://".length);
        const { output } = await runCommand("status", "--node", control, "--node", "127.0.0.1:9");
        expect(output).toContain("unreachable");
        expect(output).toContain("serving");
    });

    it("shows the audit entries of all nodes in time order", async () => {
        const { output } = await runCommand("audit", "--platform", getPlatform(), "--json");
        const { entries } = JSON.parse(output) as {
            readonly entries: readonly { readonly time: string; readonly event: string; }[];
        };
        const times = entries.map(entry => entry.time);
        expect(times).toEqual([...times].sort());
        expect(entries.filter(entry => entry.event === "policy-adopted")).toHaveLength(2);
    });

    it("reports that the instance list can't be read if the platform is unreachable", async () => {
        const result = await runCommand("status", "--platform", "127.0.0.1:9");
        expect([result.code, result.errors.startsWith("the instance list can't be read")]).toEqual([2, true]);
    });
});
