import { readFileSync } from "node:fs";

/** Matches a list item that begins with a verb in backticks. */
const verbLine = /^- `([a-z]+)`/u;

/** Reads the verbs that function names may begin with from the list items of a Markdown file. */
const readVerbs = file =>
    new Set(
        readFileSync(file, "utf8")
            .split("\n")
            .map(line => verbLine.exec(line)?.[1])
            .filter(verb => verb !== undefined),
    );

/** Returns the first word of a camel-case name, or undefined if the name does not begin with a lower-case letter. */
const findFirstWord = name => /^[a-z]+/u.exec(name)?.[0];

/** Creates an ESLint rule that requires the names of top-level functions and methods to begin with a listed verb. */
export const createVerbRule = verbsFile => {
    const verbs = readVerbs(verbsFile);
    const checkName = (context, identifier) => {
        if (identifier === null || verbs.has(findFirstWord(identifier.name))) {
            return;
        }
        context.report({
            node: identifier,
            message: `function name '${identifier.name}' does not begin with a verb of docs/verbs.md`,
        });
    };
    const isTopLevel = node => node.parent.type === "Program" || node.parent.type.startsWith("Export");
    return {
        meta: { type: "suggestion", schema: [] },
        create: context => ({
            FunctionDeclaration: node => {
                if (isTopLevel(node)) {
                    checkName(context, node.id);
                }
            },
            VariableDeclarator: node => {
                if (!isTopLevel(node.parent) || node.init?.type !== "ArrowFunctionExpression") {
                    return;
                }
                checkName(context, node.id);
            },
            MethodDefinition: node => {
                if (node.kind === "method" && node.key.type === "Identifier") {
                    checkName(context, node.key);
                }
            },
        }),
    };
};
