/** Commands on policy files. None of them writes to the platform. */
import { existsSync } from "node:fs";
import { parseJson } from "../../_lib/parseJson";
import { compactPolicyLog } from "../../policy/compactPolicyLog";
import { createPolicyLog } from "../../policy/createPolicyLog";
import { deriveChain } from "../../policy/deriveChain";
import { parsePolicyLog } from "../../policy/parsePolicyLog";
import { patchPolicyLog } from "../../policy/patchPolicyLog";
import { type ChangeMetadata, type PolicyChain, type PolicyLog } from "../../policy/types";
import { type Checked } from "../../types";
import { readTextFile, writeTextFile } from "../_lib/textFile";
import { renderTable } from "../_lib/renderTable";
import { createSuccess, createFailure, createUsageError, formatJson } from "../_lib/results";
import { type CommandResult } from "../types";

const shownDigestDigits = 12;

const loadLog = (file: string): Checked<PolicyLog> => {
    const text = readTextFile(file);
    return text.ok ? parsePolicyLog(text.value) : text;
};

const loadJson = (file: string): Checked<unknown> => {
    const text = readTextFile(file);
    return text.ok ? parseJson(text.value) : text;
};

/** Creates a policy log from a policy, as version 1. */
export const createPolicyLogFile = (policyFile: string, logFile: string, note: ChangeMetadata): CommandResult => {
    if (existsSync(logFile)) {
        return createFailure(logFile, [{ path: "$", message: "exists already; change it with `policy patch`" }]);
    }
    const input = loadJson(policyFile);
    const log = input.ok ? createPolicyLog(input.value, note) : input;
    if (!log.ok) {
        return createFailure(policyFile, log.faults);
    }
    writeTextFile(logFile, formatJson(log.value));
    return createSuccess(`${logFile}: version 1 ${log.value.snapshot.digest.slice(0, shownDigestDigits)}\n`);
};

/** Appends a patch to a policy log, against a numbered version. */
export const patchPolicyLogFile = (
    logFile: string,
    patchFile: string,
    against: number,
    note: ChangeMetadata,
): CommandResult => {
    const log = loadLog(logFile);
    if (!log.ok) {
        return createFailure(logFile, log.faults);
    }
    const patch = loadJson(patchFile);
    const patched = patch.ok ? patchPolicyLog(log.value, against, patch.value, note) : patch;
    if (!patched.ok) {
        return createFailure(patchFile, patched.faults);
    }
    writeTextFile(logFile, formatJson(patched.value));
    const latest = patched.value.entries[patched.value.entries.length - 1]!;
    return createSuccess(`${logFile}: version ${latest.version} ${latest.digest.slice(0, shownDigestDigits)}\n`);
};

/** Compacts a policy log to a snapshot and its newest patches. */
export const compactPolicyLogFile = (logFile: string, keptEntries: number): CommandResult => {
    const log = loadLog(logFile);
    if (!log.ok) {
        return createFailure(logFile, log.faults);
    }
    const compacted = compactPolicyLog(log.value, keptEntries);
    writeTextFile(logFile, formatJson(compacted));
    const { snapshot, entries } = compacted;
    return createSuccess(`${logFile}: snapshot of version ${snapshot.version} and ${entries.length} patches\n`);
};

/** Checks a policy log: its shape, its versions and the entries that do not count. */
export const checkPolicyLogFile = (logFile: string, json: boolean): CommandResult => {
    const log = loadLog(logFile);
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
    return createSuccess(json ? formatJson({ ok: true, version }) : `${logFile}: version ${version} is good\n`);
};

/** Shows the policy of a version, by default the latest one. */
export const renderPolicyVersion = (logFile: string, version: number | undefined): CommandResult => {
    const log = loadLog(logFile);
    if (!log.ok) {
        return createFailure(logFile, log.faults);
    }
    const { versions } = deriveChain(log.value);
    const shown = version === undefined
        ? versions[versions.length - 1]
        : versions.find(candidate => candidate.version === version);
    return shown ? createSuccess(formatJson(shown)) : createUsageError(`${logFile}: there is no version ${version}`);
};

const listLogRows = (chain: PolicyChain): readonly (readonly string[])[] => [
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

/** Lists the versions of a log and its rejected entries. */
export const listPolicyVersions = (logFile: string, json: boolean): CommandResult => {
    const log = loadLog(logFile);
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
    return createSuccess(renderTable(["VERSION", "DIGEST", "TIME", "AUTHOR", "REASON"], listLogRows(chain)));
};
