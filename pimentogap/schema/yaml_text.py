"""Parses YAML text into plain data and the source line of each path."""

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
        _collect_lines(root, "", lines_by_path, problems)
    if problems:
        raise InvalidDocument(problems)
    return data, lines_by_path


def _collect_lines(node, path, lines_by_path, problems):
    lines_by_path.setdefault(path, node.start_mark.line + 1)
    match node:
        case yaml.MappingNode():
            seen_keys = set()
            for key, value in node.value:
                child_path = f"{path}.{key.value}" if path else str(key.value)
                line = key.start_mark.line + 1
                if key.value in seen_keys:
                    problems.append(
                        Problem(child_path, line, "given twice", "one value")
                    )
                seen_keys.add(key.value)
                lines_by_path[child_path] = line
                _collect_lines(value, child_path, lines_by_path, problems)
        case yaml.SequenceNode():
            for index, value in enumerate(node.value):
                _collect_lines(value, f"{path}[{index}]", lines_by_path, problems)
