"""Steps for decoding the settings and entries of the platform."""

import yaml
from behave import then

from pimentogap.errors import InvalidDocument
from pimentogap.platform import decode_backend, load_platform_settings
from standins.emulator import settings_document


@then("the entry {entry} is not decoded as a backend server")
def then_entry_rejected(context, entry):
    assert decode_backend("i-1", yaml.safe_load(entry)) is None


@then("settings without {field} are refused, and the error names the field")
def then_settings_refused(context, field):
    document = settings_document("front-0")
    del document[field]
    try:
        load_platform_settings(yaml.safe_dump(document))
    except InvalidDocument as error:
        assert field in str(error), error
    else:
        raise AssertionError("the settings were accepted")


@then("settings with an unknown field are accepted")
def then_settings_accepted(context):
    document = {**settings_document("front-0"), "new": {"field": 1}}
    assert load_platform_settings(yaml.safe_dump(document)).id == "front-0"
