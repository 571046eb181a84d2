"""Reads YAML text into plain data with the source line of every path."""

import yaml

from pimentogap.errors import InvalidDocument
from pimentogap.schema._check import Problem


def read_yaml(text):
    """Parse ``text`` and return its plain data and the line of each path.

    :raises InvalidDocument: if the text is not YAML, or repeats a key.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else None
        found = getattr(error, "problem", None) or "not YAML"
        raise InvalidDocument([Problem("", line, found, "a YAML document")])
    lines_by_path = {}
    problems = []
    if root is not None:
        _collect(root, "", lines_by_path, problems)
    if problems:
        raise InvalidDocument(problems)
    return data, lines_by_path


def _collect(node, path, lines_by_path, problems):
    lines_by_path.setdefault(path, node.start_mark.line + 1)
    match node:
        case yaml.MappingNode():
            seen = set()
            for key, value in node.value:
                child = f"{path}.{key.value}" if path else str(key.value)
                line = key.start_mark.line + 1
                if key.value in seen:
                    problems.append(Problem(child, line, "given twice", "one value"))
                seen.add(key.value)
                lines_by_path[child] = line
                _collect(value, child, lines_by_path, problems)
        case yaml.SequenceNode():
            for index, value in enumerate(node.value):
                _collect(value, f"{path}[{index}]", lines_by_path, problems)
