/** Commands on policy files. They write only local files and never publish to the platform. */
import { existsSync } from "node:fs";
import { parseJson } from "../../_lib/parseJson";
import { compactPolicyLog } from "../../policy/compactPolicyLog";
import { createPolicyLog } from "../../policy/createPolicyLog";
import { deriveChain } from "../../policy/deriveChain";
import { parsePolicyLog } from "../../policy/parsePolicyLog";
import { patchPolicyLog } from "../../policy/patchPolicyLog";
import { type ChangeMetadata, type PolicyChain, type PolicyLog } from "../../policy/types";
import { type Checked } from "../../types";
import { renderTable } from "../_lib/renderTable";
import { createFailure, createSuccess, createUsageError, formatJson } from "../_lib/results";
import { readTextFile, writeTextFile } from "../_lib/textFile";
import { type CommandResult } from "../types";

const shownDigestDigits = 12;

const readLogFile = (file: string): Checked<PolicyLog> => {
    const text = readTextFile(file);
    return text.ok ? parsePolicyLog(text.value) : text;
};

const readJsonFile = (file: string): Checked<unknown> => {
    const text = readTextFile(file);
    return text.ok ? parseJson(text.value) : text;
};

/** Creates a policy log file with a policy as version 1; refuses to overwrite an existing file. */
export const createPolicyLogFile = (policyFile: string, logFile: string, metadata: ChangeMetadata): CommandResult => {
    if (existsSync(logFile)) {
        return createFailure(logFile, [{ path: "$", message: "already exists; change it with `policy patch`" }]);
    }
    const input = readJsonFile(policyFile);
    const log = input.ok ? createPolicyLog(input.value, metadata) : input;
    if (!log.ok) {
        return createFailure(policyFile, log.faults);
    }
    writeTextFile(logFile, formatJson(log.value));
    return createSuccess(`${logFile}: version 1 ${log.value.snapshot.digest.slice(0, shownDigestDigits)}\n`);
};

/** Appends a patch to a policy log; a refused patch leaves the file unchanged. */
export const patchPolicyLogFile = (
    logFile: string,
    patchFile: string,
    baseVersion: number,
    metadata: ChangeMetadata,
): CommandResult => {
    const log = readLogFile(logFile);
    if (!log.ok) {
        return createFailure(logFile, log.faults);
    }
    const patch = readJsonFile(patchFile);
    const patched = patch.ok ? patchPolicyLog(log.value, baseVersion, patch.value, metadata) : patch;
    if (!patched.ok) {
        return createFailure(patchFile, patched.faults);
    }
    writeTextFile(logFile, formatJson(patched.value));
    const latest = patched.value.entries[patched.value.entries.length - 1]!;
    return createSuccess(`${logFile}: version ${latest.version} ${latest.digest.slice(0, shownDigestDigits)}\n`);
};

/** Compacts a policy log to a snapshot and its newest accepted patches. */
export const compactPolicyLogFile = (logFile: string, keptEntryCount: number): CommandResult => {
    const log = readLogFile(logFile);
    if (!log.ok) {
        return createFailure(logFile, log.faults);
    }
    const compacted = compactPolicyLog(log.value, keptEntryCount);
    writeTextFile(logFile, formatJson(compacted));
    const { snapshot, entries } = compacted;
    return createSuccess(`${logFile}: snapshot of version ${snapshot.version} and ${entries.length} patches\n`);
};

/** Checks the schema, the snapshot and all entries of a policy log; a rejected entry is a fault. */
export const checkPolicyLogFile = (logFile: string, json: boolean): CommandResult => {
    const log = readLogFile(logFile);
    if (!log.ok) {
        return createFailure(logFile, log.faults, json);
    }
    const chain = deriveChain(log.value);
    if (chain.rejected.length > 0) {
        const faults = chain.rejected.map(({ entry, reason }) => ({
            path: `$.entries[${log.value.entries.indexOf(entry)}]`,
            message: reason,
        }));
        return createFailure(logFile, faults, json);
    }
    const { version } = chain.versions[chain.versions.length - 1]!;
    return createSuccess(json ? formatJson({ ok: true, version }) : `${logFile}: version ${version} is valid\n`);
};

/** Renders one version of a policy with its metadata as JSON; renders the latest version if `version` is undefined. */
export const renderPolicyVersion = (logFile: string, version: number | undefined): CommandResult => {
    const log = readLogFile(logFile);
    if (!log.ok) {
        return createFailure(logFile, log.faults);
    }
    const { versions } = deriveChain(log.value);
    const selected = version === undefined
        ? versions[versions.length - 1]
        : versions.find(candidate => candidate.version === version);
    return selected
        ? createSuccess(formatJson(selected))
        : createUsageError(`${logFile}: version ${version} does not exist`);
};

const listVersionRows = (chain: PolicyChain): readonly (readonly string[])[] => [
    ...chain.versions.map(({ version, digest, time, author, reason }) => [
        String(version),
        digest.slice(0, shownDigestDigits),
        time,
        author,
        reason,
    ]),
    ...chain.rejected.map(({ entry, reason }) => [
        `(${entry.version})`,
        "rejected",
        entry.time,
        entry.author,
        reason,
    ]),
];

/** Lists the versions and the rejected entries of a log as a table or as JSON. */
export const listPolicyVersions = (logFile: string, json: boolean): CommandResult => {
    const log = readLogFile(logFile);
    if (!log.ok) {
        return createFailure(logFile, log.faults, json);
    }
    const chain = deriveChain(log.value);
    if (json) {
        const versions = chain.versions.map(({ version, digest, time, author, reason }) => ({
            version,
            digest,
            time,
            author,
            reason,
        }));
        return createSuccess(formatJson({ versions, rejected: chain.rejected }));
    }
    return createSuccess(renderTable(["VERSION", "DIGEST", "TIME", "AUTHOR", "REASON"], listVersionRows(chain)));
};
