/** Command line of the program: commands, options and their argument checks. */
import { type CAC, cac } from "cac";
import { type ChangeMetadata } from "../policy/types";
import { listNodes, type NodeAddress, parseAddress } from "./_lib/queryNodes";
import { createSuccess, createUsageError } from "./_lib/results";
import { runAudit } from "./runAudit";
import { runExplain } from "./runExplain";
import { runNode } from "./runNode";
import {
    checkPolicyLogFile,
    compactPolicyLogFile,
    createPolicyLogFile,
    listPolicyVersions,
    patchPolicyLogFile,
    renderPolicyVersion,
} from "./runPolicy";
import { checkSettingsFile, renderSchema } from "./runSettings";
import { runStatus } from "./runStatus";
import { type CommandResult } from "./types";

const defaultKeptEntryCount = 200;

interface MetadataOptions {
    readonly author?: string;
    readonly reason?: string;
    readonly time?: string;
}

interface NodeQueryOptions {
    readonly platform?: string;
    readonly instances: string;
    readonly node?: string | readonly string[];
    readonly json?: boolean;
}

type ResultHandler = (result: CommandResult) => void;

const readMetadata = (options: MetadataOptions): ChangeMetadata | undefined =>
    options.author && options.reason
        ? {
            author: String(options.author),
            reason: String(options.reason),
            time: options.time ?? new Date().toISOString(),
        }
        : undefined;

const createMissingMetadataError = (): CommandResult => createUsageError("--author and --reason are required");

const listSelectedNodes = async (options: NodeQueryOptions): Promise<readonly NodeAddress[] | undefined> => {
    const names = options.node === undefined ? [] : [options.node].flat();
    const addresses = names.map(name => ({ endpoint: name, control: parseAddress(name) }));
    if (addresses.length > 0) {
        return addresses.every(address => address.control) ? addresses as readonly NodeAddress[] : undefined;
    }
    return options.platform ? listNodes(options.platform, options.instances) : undefined;
};

const runOnNodes = async (
    options: NodeQueryOptions,
    run: (nodes: readonly NodeAddress[], json: boolean) => Promise<CommandResult>,
): Promise<CommandResult> => {
    try {
        const nodes = await listSelectedNodes(options);
        return nodes
            ? await run(nodes, options.json === true)
            : createUsageError("--platform HOST:PORT or --node HOST:PORT is required");
    }
    catch (error) {
        return createUsageError(`the instance list can't be read: ${(error as Error).message}`);
    }
};

const addPolicyCommands = (program: CAC, report: ResultHandler): void => {
    program
        .command(
            "policy <action> <file>",
            "Create, patch, compact, check, show or list (log) the versions of a policy log",
        )
        .option("--log <file>", "create: the log file to write")
        .option("--against <version>", "patch: the version that the patch was made against")
        .option("--patch <file>", "patch: a JSON Patch (RFC 6902)")
        .option("--keep <count>", "compact: number of newest patches to keep, by default 200")
        .option("--version <version>", "show: the version to show, by default the latest one")
        .option("--author <name>", "create, patch: author of the change")
        .option("--reason <text>", "create, patch: reason for the change")
        .option("--time <time>", "create, patch: time of the change in ISO 8601, by default now")
        .option("--json", "Print JSON")
        .example("pomelovalve policy create policy.json --log ertis.log.json --author aida --reason 'first version'")
        .example(
            "pomelovalve policy patch ertis.log.json --against 1 --patch patch.json --author aida --reason 'shorter queue'",
        )
        .example("pomelovalve policy check ertis.log.json")
        .example("pomelovalve policy show ertis.log.json --version 1")
        .example("pomelovalve policy log ertis.log.json")
        .action((action: string, file: string, options: Readonly<Record<string, unknown>>) =>
            report(runPolicyAction(action, file, options))
        );
};

const runPolicyAction = (action: string, file: string, options: Readonly<Record<string, unknown>>): CommandResult => {
    const metadata = readMetadata(options as MetadataOptions);
    const isJson = options["json"] === true;
    switch (action) {
        case "create":
            if (!options["log"]) {
                return createUsageError("--log FILE is required");
            }
            return metadata
                ? createPolicyLogFile(file, String(options["log"]), metadata)
                : createMissingMetadataError();
        case "patch":
            if (!options["patch"] || !Number.isInteger(options["against"])) {
                return createUsageError("--patch FILE and --against VERSION are required");
            }
            return metadata
                ? patchPolicyLogFile(file, String(options["patch"]), Number(options["against"]), metadata)
                : createMissingMetadataError();
        case "compact":
            return compactPolicyLogFile(file, Number(options["keep"] ?? defaultKeptEntryCount));
        case "check":
            return checkPolicyLogFile(file, isJson);
        case "show":
            return renderPolicyVersion(file, options["version"] as number | undefined);
        case "log":
            return listPolicyVersions(file, isJson);
        default:
            return createUsageError(
                `unknown action "${action}"; expected one of create, patch, compact, check, show, log`,
            );
    }
};

const addNodeQuery = (
    program: CAC,
    name: string,
    description: string,
    run: (options: NodeQueryOptions) => Promise<CommandResult>,
    report: ResultHandler,
): void => {
    program
        .command(name, description)
        .option("--platform <address>", "Platform from which the instance list is read")
        .option("--instances <key>", "Key of the instance list", { default: "instances" })
        .option(
            "--node <address>",
            "Control address of a node to query instead of the list; can be given several times",
        )
        .option("--json", "Print JSON")
        .example(`pomelovalve ${name} --platform 127.0.0.1:7000`)
        .example(`pomelovalve ${name} --node 127.0.0.1:7103 --json`)
        .action(async (options: NodeQueryOptions) => report(await run(options)));
};

/** Creates the command line parser; each command passes its result to `report` once. */
export const createProgram = (report: ResultHandler): CAC => {
    const program = cac("pomelovalve");
    program
        .command("node", "Run the node of one upstream")
        .option("--settings <file>", "Settings file of the node")
        .example("pomelovalve node --settings node.json")
        .action(async (options: { readonly settings?: string; }) =>
            report(options.settings ? await runNode(options.settings) : createUsageError("--settings FILE is required"))
        );
    addPolicyCommands(program, report);
    addNodeQuery(
        program,
        "status",
        "Show the policy version, the state and the load of each node",
        options => runOnNodes(options, runStatus),
        report,
    );
    addNodeQuery(
        program,
        "audit",
        "Show the merged audit trails of the nodes",
        options => runOnNodes(options, runAudit),
        report,
    );
    program
        .command("settings <action> <subject>", "Check a settings file, or print a JSON Schema")
        .option("--json", "Print JSON")
        .example("pomelovalve settings check node.json")
        .example("pomelovalve settings schema settings   (or policy, policy-log)")
        .action((action: string, subject: string, options: { readonly json?: boolean; }) => {
            if (action === "check") {
                report(checkSettingsFile(subject, options.json === true));
                return;
            }
            report(
                action === "schema"
                    ? renderSchema(subject)
                    : createUsageError(`unknown action "${action}"; expected one of check, schema`),
            );
        });
    program
        .command(
            "explain <request> [...files]",
            "Show the log lines of a request and its nested calls from the logs of all nodes",
        )
        .example("pomelovalve explain 9c41d07be2a35f68 node-1.log node-2.log   (or from standard input)")
        .action((request: string, files: readonly string[]) => report(runExplain(String(request), files)));
    program
        .command("version", "Show the version of the program")
        .example("pomelovalve version")
        .action(() => report(createSuccess(`${process.env["POMELOVALVE_VERSION"] ?? "development"}\n`)));
    program.help();
    return program;
};
