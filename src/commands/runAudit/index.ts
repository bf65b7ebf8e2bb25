/** Shows the merged audit trails of all reachable nodes, in time order. */
import logfmt from "logfmt";
import { type AuditEntry } from "../../tasks/audit";
import { type NodeAddress, type NodeAnswer, queryNodes } from "../_lib/queryNodes";
import { createSuccess, formatJson } from "../_lib/results";
import { type CommandResult } from "../types";

const compareEntries = (first: AuditEntry, second: AuditEntry): number =>
    first.time.localeCompare(second.time) || first.endpoint.localeCompare(second.endpoint)
    || first.sequence - second.sequence;

/** Merges the audit trails of the nodes that answered, in time order. */
export const mergeAuditTrails = (answers: readonly NodeAnswer<readonly AuditEntry[]>[]): readonly AuditEntry[] =>
    answers.flatMap(answer => answer.reached ? answer.value : []).sort(compareEntries);

const formatEntry = (entry: AuditEntry): string =>
    logfmt.stringify({
        time: entry.time,
        endpoint: entry.endpoint,
        sequence: entry.sequence,
        event: entry.event,
        ...entry.fields,
    });

const formatUnreachable = (answer: NodeAnswer<readonly AuditEntry[]>): readonly string[] =>
    answer.reached
        ? []
        : [logfmt.stringify({ event: "node-unreachable", endpoint: answer.node.endpoint, detail: answer.detail })];

/** Queries the audit trails of all nodes and formats them, and the nodes not reached, as logfmt lines or JSON. */
export const runAudit = async (nodes: readonly NodeAddress[], json: boolean): Promise<CommandResult> => {
    const answers = await queryNodes(nodes, (client, signal) => client.audit.query({ after: 0 }, { signal }));
    if (json) {
        const unreached = answers.filter(answer => !answer.reached);
        return createSuccess(formatJson({ entries: mergeAuditTrails(answers), unreached }));
    }
    const lines = [...mergeAuditTrails(answers).map(formatEntry), ...answers.flatMap(formatUnreachable)];
    return createSuccess(lines.map(line => `${line}\n`).join(""));
};
