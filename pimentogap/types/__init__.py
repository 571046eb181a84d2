"""The core types that services share."""

from pimentogap.types._configuration import (
    ITEM_CLASSES_BY_KIND,
    KINDS_BY_ITEM_CLASS,
    EngineKind,
    ItemKey,
    ModelGroup,
    ModelService,
    Operator,
    PlainBackend,
    PlainService,
    PlannedStop,
    SettledAction,
    WeightStore,
    Workspace,
    key_of,
)
from pimentogap.types._fleet import (
    AssignedVm,
    Assignment,
    BackendServer,
    Vm,
    VmState,
)
from pimentogap.types._outcomes import (
    HTTP_STATUS_BY_CODE,
    Refusal,
    RefusalCode,
    RunState,
    not_run,
)

__all__ = [
    "HTTP_STATUS_BY_CODE",
    "ITEM_CLASSES_BY_KIND",
    "KINDS_BY_ITEM_CLASS",
    "AssignedVm",
    "Assignment",
    "BackendServer",
    "EngineKind",
    "ItemKey",
    "ModelGroup",
    "ModelService",
    "Operator",
    "PlainBackend",
    "PlainService",
    "PlannedStop",
    "Refusal",
    "RefusalCode",
    "RunState",
    "SettledAction",
    "Vm",
    "VmState",
    "WeightStore",
    "Workspace",
    "key_of",
    "not_run",
]
