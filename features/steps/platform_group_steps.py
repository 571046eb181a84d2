"""Steps for model groups and their members on an emulated platform."""

from behave import then, when

from standins.emulator import MODEL_SERVICE


@when("a member of a group of model {model} is lost for good")
def when_member_lost(context, model):
    fleet = context.simulation.fleet
    head = fleet.open_group_heads(model)[0]
    context.failed_replica = head.place.members[-1]
    fleet.lose_replica(context.failed_replica)


@when("a member of the last group of model {model} is lost for good")
def when_last_member_lost(context, model):
    fleet = context.simulation.fleet
    head = fleet.open_group_heads(model)[-1]
    context.failed_replica = head.place.members[-1]
    fleet.lose_replica(context.failed_replica)


@when("the head of a group of model {model} is lost for good")
def when_head_lost(context, model):
    fleet = context.simulation.fleet
    context.failed_replica = fleet.open_group_heads(model)[0].id
    fleet.lose_replica(context.failed_replica)


@when("the head of a group of model {model} is cut off from the store")
def when_head_cut_off(context, model):
    head = context.simulation.fleet.open_group_heads(model)[0]
    head.cut_from_store = True
    context.failed_replica = head.id


@when("a member of a group of model {model} is cut off from the store")
def when_member_cut_off(context, model):
    fleet = context.simulation.fleet
    heads = fleet.open_group_heads(model)
    context.groups_before = {head.place.group for head in heads}
    context.failed_replica = heads[0].place.members[-1]
    fleet.replicas_by_id[context.failed_replica].cut_from_store = True


@when("a joining member of a group is cut off from the store")
def when_joining_member_cut_off(context):
    fleet = context.simulation.fleet
    joining = [
        replica
        for replica in fleet.replicas_by_id.values()
        if replica.place is not None and replica.place.state == "joining"
    ]
    replica = max(joining, key=lambda item: item.place.rank)
    replica.cut_from_store = True
    context.failed_replica = replica.id


@when("a member of a group of model {model} leaves without having said so")
def when_member_leaves_silently(context, model):
    fleet = context.simulation.fleet
    context.failed_replica = fleet.open_group_heads(model)[0].place.members[-1]
    replica = fleet.replicas_by_id[context.failed_replica]
    replica.cut_from_store = True
    replica.state = "draining"


@when("the member reaches the store again")
def when_member_back(context):
    replica = context.simulation.fleet.replicas_by_id[context.failed_replica]
    replica.cut_from_store = False
    replica.publish()


@then("there are {count:d} open groups of model {model}, each since before the cut")
def then_same_groups(context, count, model):
    heads = context.simulation.fleet.open_group_heads(model)
    groups = {head.place.group for head in heads}
    assert groups == context.groups_before and len(groups) == count, groups


@then("every daemon knows {count:d} heads of model {model}")
def then_heads_known(context, count, model):
    for name, kernel in context.simulation.fleet.kernels_by_name.items():
        heads = kernel.get("directory").heads(MODEL_SERVICE, model)
        assert len(heads) == count, (name, heads)


@when("its entry expires")
def when_entry_expires(context):
    context.simulation.fleet.store.remove("servers", context.failed_replica)


@when("a member of a group of model {model} reports that it is draining")
def when_drains(context, model):
    fleet = context.simulation.fleet
    head = fleet.open_group_heads(model)[0]
    context.draining_member = head.place.members[-1]
    replica = fleet.replicas_by_id[context.draining_member]
    replica.state = "draining"
    replica.publish()
    context.draining_head = head.id


@when("the entry of every model replica expires")
def when_all_entries_expire(context):
    fleet = context.simulation.fleet
    for id_ in fleet.replicas_by_id:
        fleet.store.remove("servers", id_)


@when("every model replica writes its entry again")
def when_all_entries_written(context):
    for replica in context.simulation.fleet.replicas_by_id.values():
        replica.publish()


@when("{share:g} of the orders are carried out late and not answered")
def when_orders_late(context, share):
    for replica in context.simulation.fleet.replicas_by_id.values():
        replica.late_order_share = share


@when("orders to leave take {seconds:g} seconds")
def when_leaves_slow(context, seconds):
    for replica in context.simulation.fleet.replicas_by_id.values():
        replica.order_delays_s["leave"] = seconds


@then("the metrics of the leader show {count:d} open groups of model {model}")
def then_open_groups_exported(context, count, model):
    fleet = context.simulation.fleet
    (leader,) = context.simulation.call_in_loop(fleet.leader_names)
    text = fleet.kernels_by_name[leader].get("metrics").text()
    labels = f'service="llm",workspace="-",model="{model}"'
    assert f"pimentogap_open_groups{{{labels}}} {count}\n" in text, text


@then("no other daemon exports the number of open groups")
def then_only_leader_exports(context):
    fleet = context.simulation.fleet
    leaders = context.simulation.call_in_loop(fleet.leader_names)
    for name, kernel in fleet.kernels_by_name.items():
        shown = "open_groups" in kernel.get("metrics").text()
        assert shown is (name in leaders), name


@then("there are at most {count:d} open groups of model {model}")
def then_open_at_most(context, count, model):
    heads = context.simulation.fleet.open_group_heads(model)
    assert len(heads) <= count, len(heads)


@then("there are at least {count:d} open groups of model {model}")
def then_groups(context, count, model):
    heads = [head.id for head in context.simulation.fleet.open_group_heads(model)]
    assert len(heads) >= count, heads


@then("no replica was in two groups, and no incomplete group ran a request")
def then_groups_consistent(context):
    records = context.simulation.fleet.records
    assert not records.replicas_in_two_groups, records.replicas_in_two_groups
    assert not records.runs_in_incomplete_groups, records.runs_in_incomplete_groups


@then("fewer than {count:d} model loads were started after the first request")
def then_loads(context, count):
    loads = context.simulation.fleet.records.loads
    assert len(loads) < count, loads


@when("{count:d} empty replicas are added to each of {domains:d} fabric domains")
def when_added(context, count, domains):
    fleet = context.simulation.fleet

    def add():
        for domain in range(domains):
            for index in range(count):
                fleet.add_replica(f"d{domain}", 100 + index)

    context.simulation.call_in_loop(add)


@then("every replica holds weights")
def then_all_staged(context):
    replicas = context.simulation.fleet.replicas_by_id.values()
    empty = [replica.id for replica in replicas if not replica.staged]
    assert not empty, empty


@then("there were never more than {count:d} loads at once")
def then_loading(context, count):
    most = context.simulation.fleet.records.max_concurrent_loads
    assert most <= count, most
