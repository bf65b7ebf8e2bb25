/** Shows which version is in force where, and what the nodes are doing. */
import { type NodeStatus } from "../../tasks/control/router";
import { type NodeAddress, type NodeAnswer, queryNodes } from "../_lib/queryNodes";
import { renderTable } from "../_lib/renderTable";
import { createSuccess, formatJson } from "../_lib/results";
import { type CommandResult } from "../types";

const head = [
    "DOMAIN",
    "ENDPOINT",
    "PHASE",
    "VERSION",
    "DIGEST",
    "AGE",
    "SOURCE",
    "CONFIRMED",
    "PLATFORM",
    "RUNNING",
    "LIMIT",
    "QUEUE",
    "REFUSED",
];
const shownDigestDigits = 8;

const formatAge = (ageMs: number): string => `${Math.round(ageMs / 1_000)}s`;

const formatRefusals = (refusals: Readonly<Record<string, number>>): string => {
    const parts = Object.entries(refusals).map(([reason, count]) => `${reason}:${count}`);
    return parts.length === 0 ? "-" : parts.join(" ");
};

const listRow = (status: NodeStatus): readonly (string | number)[] => [
    status.failureDomain,
    status.endpoint,
    status.phase,
    status.policyVersion,
    status.policyDigest.slice(0, shownDigestDigits) || "-",
    formatAge(status.policyAgeMs),
    status.policySource || "-",
    status.policyConfirmed ? "yes" : "unconfirmed",
    status.platformReached ? "reached" : "lost",
    status.inFlight,
    Math.floor(status.limit),
    status.queued,
    formatRefusals(status.refusals),
];

const compareAnswers = (first: NodeAnswer<NodeStatus>, second: NodeAnswer<NodeStatus>): number =>
    first.node.endpoint.localeCompare(second.node.endpoint);

const listAnswerRow = (answer: NodeAnswer<NodeStatus>): readonly (string | number)[] =>
    answer.reached
        ? listRow(answer.value)
        : [
            "?",
            answer.node.endpoint,
            "unreachable",
            ...Array.from({ length: head.length - 4 }, () => "-"),
            answer.detail,
        ];

/** Renders the statuses as a table. */
export const renderStatus = (answers: readonly NodeAnswer<NodeStatus>[]): string =>
    renderTable(head, [...answers].sort(compareAnswers).map(listAnswerRow));

/** Queries the status of all nodes. */
export const runStatus = async (nodes: readonly NodeAddress[], json: boolean): Promise<CommandResult> => {
    const answers = await queryNodes(nodes, (client, signal) => client.status.query(undefined, { signal }));
    return createSuccess(json ? formatJson(answers) : renderStatus(answers));
};
